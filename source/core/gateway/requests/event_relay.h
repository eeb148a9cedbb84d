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
    /// At least one event is missing before this one.
    out_of_order,
    /// A line is not valid in an event stream, or comments and blank lines continue for too long
    /// without an event.
    not_an_event,
    /// An event, complete or incomplete, exceeds `max_event_bytes`.
    too_large
};

/// How the ids of a stream increase, as far as its events have shown.
enum class id_steps { unknown, by_one, larger };

/// Largest event that is relayed. An event holds a few tokens; the limit bounds the memory used for
/// a stream whose event never ends.
inline constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;

/// Relays complete events of a server-sent event stream (WHATWG HTML, section 9.2) and remembers
/// the id of the last one, so that the stream can resume at another upstream. Bytes of an
/// incomplete event are buffered.
class event_relay {
public:
    event_relay() = default;

    /// Events with ids up to `last_event` have already reached the caller. `known` is how the ids
    /// of other streams of the service increase.
    explicit event_relay(std::uint64_t last_event, id_steps known = id_steps::unknown)
        : m_last{last_event}, m_steps{known == id_steps::larger ? id_steps::larger
                                                                : id_steps::by_one} {}

    /// Parses bytes from the current upstream and appends complete events to `out`. Events that the
    /// caller already has are skipped. Ids increase, in most streams by one; in a stream that has
    /// counted by one so far, an event whose id does not follow the last one is out of order. So is
    /// the first event of an upstream that does not go on after the last one, but begins a run of
    /// its own. After a status other than `good`, call `restart` before the next use.
    relay_status feed(std::string_view bytes, std::string& out);

    /// Drops the incomplete event before the stream continues at another upstream.
    void restart();

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial() const { return !m_pending.empty(); }

    [[nodiscard]] std::optional<std::uint64_t> last_event() const { return m_last; }

    [[nodiscard]] id_steps steps() const { return m_steps; }

    /// Whether an event has been passed on.
    [[nodiscard]] bool started() const { return m_started; }

    /// Whether an event of the current upstream has been passed on. Comments do not count.
    [[nodiscard]] bool has_event_of_upstream() const { return m_has_event_of_upstream; }

private:
    relay_status parse_lines(std::string& out);
    relay_status parse_event(std::string_view event, std::string& out);

    /// Whether an event with this id may follow the last one. Records how the ids increase.
    bool may_follow(std::uint64_t id);

    std::optional<std::uint64_t> m_last;
    id_steps m_steps = id_steps::unknown;
    /// The incomplete event. Its first `m_checked` bytes are complete, valid lines.
    std::string m_pending;
    std::size_t m_checked = 0;
    /// Where the search for the end of the first unchecked line resumes.
    std::size_t m_searched = 0;
    /// Bytes of comments and blank lines since the last event.
    std::size_t m_idle_bytes = 0;
    bool m_started = false;
    /// Whether the current upstream has sent an event with an id.
    bool m_run_begun = false;
    bool m_has_event_of_upstream = false;
};

} // namespace jujubemast::gateway::requests

namespace jujubemast::common {

template <>
struct enum_names<gateway::requests::relay_status> {
    static constexpr std::array<std::string_view, 4> table{"good", "out_of_order", "not_an_event",
                                                           "too_large"};
};

template <>
struct enum_names<gateway::requests::id_steps> {
    static constexpr std::array<std::string_view, 3> table{"unknown", "by_one", "larger"};
};

} // namespace jujubemast::common
