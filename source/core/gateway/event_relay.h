#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubemast::gateway {

/// What became of bytes of an event stream.
enum class relay_status { good, out_of_order };

/// Passes on whole events of a stream (WHATWG HTML, section 9.2) and remembers the last one, so
/// that the stream can go on at another upstream. Bytes of an unfinished event are held back.
class event_relay {
public:
    /// Events up to this one are already with the caller.
    explicit event_relay(std::optional<std::uint64_t> last_event = {}) : m_last{last_event} {}

    /// Takes bytes of the current upstream and appends whole events to `out`. Events that the
    /// caller has already are left out. An event that does not follow the last one is out of order.
    relay_status add(std::string_view bytes, std::string& out);

    /// The upstream changes: drops the unfinished event.
    void restart() { m_pending.clear(); }

    /// Bytes of an event that has not ended.
    [[nodiscard]] bool has_partial() const { return !m_pending.empty(); }

    [[nodiscard]] std::optional<std::uint64_t> last_event() const { return m_last; }

    /// Whether an event has been passed on.
    [[nodiscard]] bool started() const { return m_started; }

private:
    relay_status take_event(std::string_view event, std::string& out);

    std::optional<std::uint64_t> m_last;
    std::string m_pending;
    bool m_started = false;
};

} // namespace jujubemast::gateway
