#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/enum_names.h"

namespace jujubemast::gateway {

/// What became of bytes of an event stream.
enum class relay_status {
    good,
    /// An event is missing before this one.
    out_of_order,
    /// A line has not the form that lines of an event have, or comments and blank lines go on
    /// without an event.
    not_an_event,
    /// An event exceeds `max_event_bytes`, or does not end.
    too_large
};

/// Longest event that is relayed. An event holds a few tokens; the limit bounds what a stream whose
/// event never ends takes of the memory.
inline constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;

/// Passes on whole events of a stream (WHATWG HTML, section 9.2) and remembers the last one, so
/// that the stream can go on at another upstream. Bytes of an unfinished event are held back.
class event_relay {
public:
    /// Events up to this one are already with the caller.
    explicit event_relay(std::optional<std::uint64_t> last_event = {}) : m_last{last_event} {}

    /// Takes bytes of the current upstream and appends whole events to `out`. Events that the
    /// caller has already are left out. An event that does not follow the last one is out of order.
    /// After any other status than good the stream is of no more use until `restart`.
    relay_status add(std::string_view bytes, std::string& out);

    /// The upstream changes: drops the unfinished event.
    void restart();

    /// Bytes of an event that has not ended.
    [[nodiscard]] bool has_partial() const { return !m_pending.empty(); }

    [[nodiscard]] std::optional<std::uint64_t> last_event() const { return m_last; }

    /// Whether an event has been passed on.
    [[nodiscard]] bool started() const { return m_started; }

private:
    relay_status take_lines(std::string& out);
    relay_status take_event(std::string_view event, std::string& out);

    std::optional<std::uint64_t> m_last;
    /// The unfinished event. It begins with whole lines that have been checked.
    std::string m_pending;
    std::size_t m_checked = 0;
    /// Where the search for the end of the first unchecked line goes on.
    std::size_t m_searched = 0;
    /// Comments and blank lines since the last event.
    std::size_t m_idle_bytes = 0;
    bool m_started = false;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::relay_status> {
    static constexpr std::array<std::string_view, 4> table{"good", "out_of_order", "not_an_event",
                                                           "too_large"};
};

} // namespace jujubemast::common
