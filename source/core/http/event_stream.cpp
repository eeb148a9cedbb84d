#include "http/event_stream.h"

#include <utility>

#include "common/error.h"

namespace jujubemast::http {

namespace {

constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

std::string_view field_value(std::string_view line, std::string_view name) {
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

std::string encode_event(std::string_view name, std::string_view data) {
    std::string text = "event: ";
    text += name;
    text += "\ndata: ";
    text += data;
    text += "\n\n";
    return text;
}

void event_stream_parser::feed(std::string_view bytes) {
    m_buffer += bytes;
    std::size_t line_start = 0;
    for (auto line_end = m_buffer.find('\n'); line_end != std::string::npos;
         line_end = m_buffer.find('\n', line_start)) {
        parse_line(std::string_view{m_buffer}.substr(line_start, line_end - line_start));
        line_start = line_end + 1;
    }
    m_buffer.erase(0, line_start);
    if (m_buffer.size() + m_event.data.size() > max_event_bytes) {
        throw common::format_error{"event of a stream exceeds 1 MiB"};
    }
}

void event_stream_parser::parse_line(std::string_view line) {
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (!m_event.data.empty()) {
            m_on_event(std::exchange(m_event, {}));
        }
        m_event = {};
        return;
    }
    if (line.starts_with("event:")) {
        m_event.name = field_value(line, "event:");
    } else if (line.starts_with("data:")) {
        if (!m_event.data.empty()) {
            m_event.data += '\n';
        }
        m_event.data += field_value(line, "data:");
    }
}

} // namespace jujubemast::http
