#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::policy {

struct link_monitor_options {
    /// Time between heartbeats while work is in progress and nothing else arrives.
    common::duration active_interval = std::chrono::milliseconds{250};
    /// Maximum time between heartbeats. It determines the control traffic of an entry with many
    /// links; see docs/CAPACITY.md.
    common::duration idle_interval = std::chrono::milliseconds{1000};
    /// The link counts as silent when a heartbeat has not been answered for this time.
    common::duration silence_limit = std::chrono::milliseconds{1000};
    /// A link on which nothing has arrived for this time is checked by a heartbeat before work is
    /// sent on it.
    common::duration recent_contact_limit = std::chrono::milliseconds{500};
};

/// What the owner of a link must do next.
enum class link_action { none, send_heartbeat, replace };

/// Decides when a link needs a heartbeat, when it is silent and must be replaced, and when work may
/// be sent on it. Arriving results replace most heartbeats; some are sent nevertheless, because
/// only their answers show that the outgoing direction works. A link that has been idle is checked
/// before it is used again, because a device on the path may have dropped the state of the
/// connection.
class link_monitor {
public:
    explicit link_monitor(const link_monitor_options& options = {}) : m_options{options} {}

    /// Records that the connection was opened or replaced.
    void opened(common::time_point now);
    void heartbeat_sent(common::time_point now);
    void heartbeat_answered(common::time_point now);
    /// Records the arrival of any message other than the answer to a heartbeat.
    void message_received(common::time_point now);

    /// Returns the next action; `active` says whether work is in progress or waits on the link.
    [[nodiscard]] link_action next_action(common::time_point now, bool active) const;

    /// Returns whether any message arrived recently enough to send idempotent work.
    [[nodiscard]] bool heard_recently(common::time_point now) const;

    /// Returns whether a heartbeat was answered recently enough to send work that is not
    /// idempotent.
    [[nodiscard]] bool answered_recently(common::time_point now) const;

private:
    link_monitor_options m_options;
    std::optional<common::time_point> m_last_heard;
    std::optional<common::time_point> m_last_answer;
    common::time_point m_last_heartbeat;
    /// When the oldest unanswered heartbeat was sent, or the connection was opened without an
    /// answer since.
    std::optional<common::time_point> m_awaiting_since;
};

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::link_action> {
    static constexpr std::array<std::string_view, 3> table{"none", "send_heartbeat", "replace"};
};

} // namespace jujubemast::common
