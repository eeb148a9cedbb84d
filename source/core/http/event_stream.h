#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace jujubemast::http {

/// One event of a server-sent event stream (WHATWG HTML, section 9.2).
struct stream_event {
    std::string name;
    std::string data;
};

/// Encodes an event; the data must not contain line breaks.
std::string encode_event(std::string_view name, std::string_view data);

/// Parses the bytes of a stream as they arrive and delivers complete events.
class event_stream_parser {
public:
    explicit event_stream_parser(std::function<void(stream_event)> on_event)
        : m_on_event{std::move(on_event)} {}

    /// Parses further bytes. Throws `common::format_error` when one event exceeds 1 MiB.
    void feed(std::string_view bytes);

private:
    void parse_line(std::string_view line);

    std::function<void(stream_event)> m_on_event;
    std::string m_buffer;
    stream_event m_event;
};

} // namespace jujubemast::http
