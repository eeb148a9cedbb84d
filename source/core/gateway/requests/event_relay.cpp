#include "gateway/requests/event_relay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace jujubemast::gateway::requests {

namespace {

constexpr std::array<std::string_view, 4> field_names{"data", "id", "event", "retry"};

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
}

bool is_field_name(std::string_view name) {
    return std::find(field_names.begin(), field_names.end(), name) != field_names.end();
}

/// Whether a line that is not blank may be part of an event: a comment, a field that the format
/// defines, or an unknown field, which receivers ignore.
bool is_event_line(std::string_view line) {
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos) {
        return is_field_name(name);
    }
    return std::all_of(name.begin(), name.end(), is_name_character);
}

/// Kind of a block of lines that ends with a blank line.
enum class block_kind {
    event,
    /// Only comments, or empty.
    idle,
    /// Only fields that receivers ignore.
    unknown
};

block_kind kind_of(std::string_view block) {
    auto kind = block_kind::idle;
    for (std::size_t line = 0; line < block.size();) {
        const auto end = std::min(block.find('\n', line), block.size());
        const auto text = block.substr(line, end - line);
        const auto name = text.substr(0, std::min(text.find(':'), text.find('\r')));
        if (is_field_name(name)) {
            return block_kind::event;
        }
        if (!name.empty()) {
            kind = block_kind::unknown;
        }
        line = end + 1;
    }
    return kind;
}

std::optional<std::uint64_t> event_id(std::string_view event) {
    constexpr std::string_view name = "id:";
    for (std::size_t line = 0; line < event.size();) {
        const auto end = event.find('\n', line);
        auto text = event.substr(line, end - line);
        line = end == std::string_view::npos ? event.size() : end + 1;
        if (text.substr(0, name.size()) != name) {
            continue;
        }
        text.remove_prefix(name.size());
        while (!text.empty() && text.front() == ' ') {
            text.remove_prefix(1);
        }
        std::uint64_t id = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), id).ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

void event_relay::restart() {
    m_pending.clear();
    m_checked = 0;
    m_searched = 0;
    m_idle_bytes = 0;
    m_last_of_upstream.reset();
    m_has_event_of_upstream = false;
}

relay_status event_relay::feed(std::string_view bytes, std::string& out) {
    m_pending += bytes;
    const auto status = parse_lines(out);
    if (status != relay_status::good) {
        return status;
    }
    return m_pending.size() > max_event_bytes ? relay_status::too_large : relay_status::good;
}

relay_status event_relay::parse_lines(std::string& out) {
    const std::string_view text{m_pending};
    std::size_t event = 0;
    auto status = relay_status::good;
    for (auto end = text.find('\n', m_searched);
         status == relay_status::good && end != std::string_view::npos;
         end = text.find('\n', m_checked)) {
        auto line = text.substr(m_checked, end - m_checked);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        m_checked = end + 1;
        if (line.empty()) {
            status = parse_event(text.substr(event, m_checked - event), out);
            event = m_checked;
        } else if (!is_event_line(line)) {
            status = relay_status::not_an_event;
        }
    }
    m_pending.erase(0, event);
    m_checked -= event;
    m_searched = m_pending.size();
    return status;
}

event_relay::placement event_relay::place(std::uint64_t id) {
    const auto previous = std::exchange(m_last_of_upstream, id);
    if (!m_last) {
        return placement::next;
    }
    if (id <= *m_last) {
        const bool begins_anew = !previous && id < *m_last;
        return begins_anew ? placement::out_of_order : placement::repeated;
    }
    const bool leaves_out_last = previous && previous != m_last;
    return leaves_out_last ? placement::out_of_order : placement::next;
}

relay_status event_relay::parse_event(std::string_view event, std::string& out) {
    if (event.size() > max_event_bytes) {
        return relay_status::too_large;
    }
    const auto kind = kind_of(event);
    m_idle_bytes = kind == block_kind::event ? 0 : m_idle_bytes + event.size();
    if (kind == block_kind::unknown || m_idle_bytes > max_event_bytes) {
        return relay_status::not_an_event;
    }
    const auto id = event_id(event);
    const auto placed = id ? place(*id) : placement::next;
    if (placed == placement::out_of_order) {
        return relay_status::out_of_order;
    }
    if (placed == placement::repeated) {
        return relay_status::good;
    }
    if (id) {
        m_last = id;
    }
    m_started = true;
    m_has_event_of_upstream = m_has_event_of_upstream || kind == block_kind::event;
    out += event;
    return relay_status::good;
}

} // namespace jujubemast::gateway::requests
