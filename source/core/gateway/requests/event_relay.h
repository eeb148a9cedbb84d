#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/enum_names.h"

namespace jujubemast::gateway::requests {

/// Result of parsing a part of an event stream.
enum class relay_status {
    good,
    /// The ids show that an event is missing before this one, or that the upstream has begun a run
    /// of its own.
    out_of_order,
    /// A line is not valid in an event stream, or comments and blank lines continue for too long
    /// without an event.
    not_an_event,
    /// An event, complete or incomplete, exceeds `max_event_bytes`.
    too_large
};

/// Largest event that is relayed. An event holds a few tokens; the limit bounds the memory used for
/// a stream whose event never ends.
inline constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;

/// Relays complete events of a server-sent event stream (WHATWG HTML, section 9.2) and remembers
/// the id of the last one, so that the stream can resume at another upstream. Bytes of an
/// incomplete event are buffered.
class event_relay {
public:
    event_relay() = default;

    /// Events with ids up to `last_event` have already reached the caller.
    explicit event_relay(std::uint64_t last_event) : m_last{last_event} {}

    /// Parses bytes from the current upstream and appends complete events to `out`. Events that the
    /// caller already has are skipped. Ids increase by any step, so a step shows nothing. The first
    /// event of an upstream is out of order if it comes before the last event that the caller has,
    /// because the upstream then begins a run of its own. So is an event of an upstream that has
    /// gone back to earlier events and leaves out that last event when it goes on. After a status
    /// other than `good`, call `restart` before the next use.
    relay_status feed(std::string_view bytes, std::string& out);

    /// Drops the incomplete event before the stream continues at another upstream.
    void restart();

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial() const { return !m_pending.empty(); }

    [[nodiscard]] std::optional<std::uint64_t> last_event() const { return m_last; }

    /// Whether an event has been passed on.
    [[nodiscard]] bool started() const { return m_started; }

    /// Whether an event of the current upstream has been passed on. Comments do not count.
    [[nodiscard]] bool has_event_of_upstream() const { return m_has_event_of_upstream; }

private:
    relay_status parse_lines(std::string& out);
    relay_status parse_event(std::string_view event, std::string& out);

    /// What becomes of an event because of its id.
    enum class placement { next, repeated, out_of_order };

    /// Places an event by its id, and records that the current upstream has sent it.
    placement place(std::uint64_t id);

    /// Id of the last event that the caller has.
    std::optional<std::uint64_t> m_last;
    /// Id of the last event that the current upstream has sent.
    std::optional<std::uint64_t> m_last_of_upstream;
    /// The incomplete event. Its first `m_checked` bytes are complete, valid lines.
    std::string m_pending;
    std::size_t m_checked = 0;
    /// Where the search for the end of the first unchecked line resumes.
    std::size_t m_searched = 0;
    /// Bytes of comments and blank lines since the last event.
    std::size_t m_idle_bytes = 0;
    bool m_started = false;
    bool m_has_event_of_upstream = false;
};

} // namespace jujubemast::gateway::requests

namespace jujubemast::common {

template <>
struct enum_names<gateway::requests::relay_status> {
    static constexpr std::array<std::string_view, 4> table{"good", "out_of_order", "not_an_event",
                                                           "too_large"};
};

} // namespace jujubemast::common
