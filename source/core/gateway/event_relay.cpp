#include "gateway/event_relay.h"

#include <charconv>

namespace jujubemast::gateway {

namespace {

/// Returns the length of the first whole event including its blank line, or zero.
std::size_t event_length(std::string_view text) {
    std::size_t line = 0;
    while (line < text.size()) {
        const auto end = text.find('\n', line);
        if (end == std::string_view::npos) {
            return 0;
        }
        const bool blank = end == line || (end == line + 1 && text[line] == '\r');
        if (blank) {
            return end + 1;
        }
        line = end + 1;
    }
    return 0;
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

relay_status event_relay::add(std::string_view bytes, std::string& out) {
    m_pending += bytes;
    std::string_view left{m_pending};
    auto status = relay_status::good;
    while (status == relay_status::good) {
        const auto n = event_length(left);
        if (n == 0) {
            break;
        }
        status = take_event(left.substr(0, n), out);
        left.remove_prefix(n);
    }
    m_pending.erase(0, m_pending.size() - left.size());
    return status;
}

relay_status event_relay::take_event(std::string_view event, std::string& out) {
    const auto id = event_id(event);
    if (id && m_last && *id <= *m_last) {
        return relay_status::good;
    }
    if (id && m_last && *id != *m_last + 1) {
        return relay_status::out_of_order;
    }
    if (id) {
        m_last = id;
    }
    m_started = true;
    out += event;
    return relay_status::good;
}

} // namespace jujubemast::gateway
