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
    /// Longest time between heartbeats. It bounds the control traffic of an entry
    /// with many links; see docs/CAPACITY.md.
    common::duration idle_interval = std::chrono::milliseconds{1000};
    /// A heartbeat without an answer for this time means that the link is silent.
    common::duration silence_limit = std::chrono::milliseconds{1000};
    /// A link on which nothing has arrived for this time is checked before work is sent on it.
    common::duration recent_contact_limit = std::chrono::milliseconds{500};
};

/// What the owner of a link has to do next.
enum class link_action { none, send_heartbeat, replace };

/// Decides when a link needs a heartbeat, when it is silent and when it can be heard_recently with
/// work. Results that arrive take the place of most heartbeats; some are sent all the same, because
/// only their answers show that the other direction works. A link that has been idle is checked
/// before its first use: something between the two ends may have lost track of the connection.
class link_monitor {
public:
    explicit link_monitor(const link_monitor_options& options = {}) : m_options{options} {}

    /// The connection was opened or replaced.
    void opened(common::time_point now);
    void heartbeat_sent(common::time_point now);
    void heartbeat_answered(common::time_point now);
    /// Any other message has arrived.
    void message_received(common::time_point now);

    /// Returns the next step; `active` says whether work is in progress or waits on the link.
    [[nodiscard]] link_action next_action(common::time_point now, bool active) const;

    /// Returns whether the peer has been heard of recently enough to send work that may be
    /// repeated.
    [[nodiscard]] bool heard_recently(common::time_point now) const;

    /// Returns whether a heartbeat was answered recently enough to send work that must not be lost.
    [[nodiscard]] bool answered_recently(common::time_point now) const;

private:
    link_monitor_options m_options;
    std::optional<common::time_point> m_last_heard;
    std::optional<common::time_point> m_last_answer;
    common::time_point m_last_heartbeat;
    /// When the oldest heartbeat was sent since the last answer, or the connection was opened.
    std::optional<common::time_point> m_awaiting_since;
};

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::link_action> {
    static constexpr std::array<std::string_view, 3> table{"none", "send_heartbeat", "replace"};
};

} // namespace jujubemast::common
