#include "http/request_reader.h"

#include <algorithm>
#include <utility>

#include "http/transfer_coding.h"

namespace jujubemast::http {

namespace beast_http = boost::beast::http;

namespace {

// A connection reads at most this much before others get their turn.
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
// The first read of a header; most headers fit.
constexpr std::size_t first_read_bytes = 1024;
// Bytes of framing that are allowed for each byte of content, in addition to the limit of the
// header. A chunk of one byte takes five.
constexpr std::size_t framing_bytes_per_content_byte = 8;
constexpr std::string_view line_end = "\r\n";

/// Whether unparsed input that begins with the line of a chunk's size belongs to the last chunk, so
/// that trailers follow.
bool is_last_chunk(std::string_view input) {
    if (input.starts_with(line_end)) {
        input.remove_prefix(line_end.size());
    }
    const auto pos = input.find_first_not_of('0');
    return pos > 0 && pos != std::string_view::npos && (input[pos] == '\r' || input[pos] == ';');
}

/// Returns the size of the line of a chunk's size, including its end and that of the content before
/// it.
std::size_t chunk_line_bytes(std::string_view input) {
    const auto begin = input.starts_with(line_end) ? line_end.size() : 0;
    const auto end = input.find(line_end, begin);
    return end == std::string_view::npos ? input.size() : end + line_end.size();
}

request to_head(const beast_http::request<beast_http::string_body>& message) {
    request result;
    result.method = std::string{message.method_string()};
    result.target = std::string{message.target()};
    for (const auto& it : message) {
        result.fields.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    return result;
}

} // namespace

unsigned status_of(request_fault fault) {
    switch (fault) {
    case request_fault::malformed:
    case request_fault::unframed_body:
        return 400;
    case request_fault::header_too_large:
    case request_fault::trailers_too_large:
        return 431;
    case request_fault::body_too_large:
    case request_fault::framing_too_large:
        return 413;
    case request_fault::unsupported_transfer_coding:
    case request_fault::unsupported_method:
        return 501;
    }
    return 400;
}

void request_reader::begin(const size_limits& limits) {
    discard();
    m_limits = limits;
    m_parser.emplace();
    // The reader counts the header itself, because the parser does not count what it has parsed.
    m_parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes + 2 * read_bytes));
    m_parser->body_limit(limits.body_bytes);
}

boost::asio::mutable_buffer request_reader::prepare() {
    const bool in_body = m_parser && m_parser->is_header_done();
    const auto size =
        in_body ? read_bytes : std::clamp(m_input.size(), first_read_bytes, read_bytes);
    return m_input.prepare(size);
}

read_progress request_reader::advance() {
    return m_parser->is_header_done() ? advance_body() : advance_head();
}

read_progress request_reader::advance_head() {
    boost::system::error_code ec;
    if (m_input.size() > 0) {
        const auto consumed = m_parser->put(m_input.cdata(), ec);
        m_input.consume(consumed);
        m_head_bytes += consumed;
    }
    const bool done = m_parser->is_header_done();
    if (m_head_bytes + (done ? 0 : m_input.size()) > m_limits.header_bytes ||
        ec == beast_http::error::header_limit) {
        return fail(request_fault::header_too_large);
    }
    if (ec == beast_http::error::body_limit) {
        return fail(request_fault::body_too_large);
    }
    if (ec && ec != beast_http::error::need_more) {
        return fail(request_fault::malformed);
    }
    return done ? finish_head() : read_progress::needs_input;
}

read_progress request_reader::finish_head() {
    auto& message = m_parser->get();
    if (message.method() == beast_http::verb::trace) {
        return fail(request_fault::unsupported_method);
    }
    switch (transfer_coding_of(message)) {
    case transfer_coding::supported:
        break;
    case transfer_coding::unsupported:
        return fail(request_fault::unsupported_transfer_coding);
    case transfer_coding::unframed:
        return fail(request_fault::unframed_body);
    }
    m_keep_alive = message.keep_alive();
    if (const auto length = m_parser->content_length()) {
        m_content_length = *length;
    }
    m_request = to_head(message);
    m_head_memory = m_head_bytes + memory_of(m_request.fields);
    // The parser adds trailers to the fields of the message, where they are not wanted.
    message.clear();
    return read_progress::head_complete;
}

read_progress request_reader::advance_body() {
    boost::system::error_code ec;
    while (!m_parser->is_done() && m_input.size() > 0) {
        const auto before = body_bytes();
        const auto consumed = m_parser->put(m_input.cdata(), ec);
        if (ec == beast_http::error::body_limit) {
            return fail(request_fault::body_too_large);
        }
        if (ec && ec != beast_http::error::need_more) {
            return fail(request_fault::malformed);
        }
        if (!count_body_step(input(), consumed, body_bytes() - before)) {
            return read_progress::failed;
        }
        m_input.consume(consumed);
        if (ec) {
            return check_unparsed() ? read_progress::needs_input : read_progress::failed;
        }
    }
    return m_parser->is_done() ? read_progress::request_complete : read_progress::needs_input;
}

bool request_reader::count_body_step(std::string_view input, std::size_t consumed,
                                     std::size_t grown) {
    if (consumed == 0 || consumed == grown) {
        return true;
    }
    auto framing = consumed - grown;
    if (m_parser->is_done() && grown == 0) {
        // The line of the last chunk, and the trailers.
        const auto line = std::min(chunk_line_bytes(input.substr(0, consumed)), consumed);
        const auto trailers = consumed - line - std::min(line_end.size(), consumed - line);
        if (m_head_bytes + trailers > m_limits.header_bytes) {
            fail(request_fault::trailers_too_large);
            return false;
        }
        framing = line;
    }
    m_framing_bytes += framing;
    if (m_framing_bytes > m_limits.header_bytes + framing_bytes_per_content_byte * body_bytes()) {
        fail(request_fault::framing_too_large);
        return false;
    }
    return true;
}

bool request_reader::check_unparsed() {
    const auto unparsed = input();
    if (is_last_chunk(unparsed)) {
        const auto line = chunk_line_bytes(unparsed);
        if (line <= m_limits.header_bytes &&
            m_head_bytes + unparsed.size() - line <= m_limits.header_bytes) {
            return true;
        }
        fail(request_fault::trailers_too_large);
        return false;
    }
    if (unparsed.size() <= m_limits.header_bytes) {
        return true;
    }
    fail(request_fault::framing_too_large);
    return false;
}

read_progress request_reader::fail(request_fault fault) {
    m_fault = fault;
    return read_progress::failed;
}

request request_reader::take() {
    m_request.body = std::move(m_parser->get().body());
    return std::move(m_request);
}

void request_reader::discard() {
    m_parser.reset();
    m_request = {};
    m_content_length.reset();
    m_head_bytes = 0;
    m_head_memory = 0;
    m_framing_bytes = 0;
}

void request_reader::drop_input() {
    m_input.clear();
    m_input.shrink_to_fit();
}

void request_reader::release_buffer() {
    if (m_input.size() == 0) {
        m_input.shrink_to_fit();
    }
}

} // namespace jujubemast::http
