#include "http/connection.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "http/socket_options.h"
#include "http/transfer_coding.h"

namespace jujubemast::http {

namespace beast_http = boost::beast::http;

namespace {

// Limit on the commands queued for a connection's task. A streamed response takes one command per
// chunk.
constexpr std::size_t mailbox_capacity = 4096;

// A client that does not expect the close may still be sending. Closing at once would reset the
// connection and could discard the response before the client has read it.
constexpr common::duration linger_time = std::chrono::seconds{1};
// Retry delay of requests that are refused for lack of connections or memory.
constexpr std::chrono::seconds retry_after{1};
constexpr std::size_t discard_buffer_bytes = std::size_t{16} * 1024;

request to_request(beast_http::request<beast_http::string_body>&& message) {
    request result;
    result.method = std::string{message.method_string()};
    result.target = std::string{message.target()};
    for (const auto& it : message) {
        result.fields.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    result.body = std::move(message.body());
    return result;
}

template <typename Message>
std::string serialize(const Message& message) {
    std::ostringstream text;
    text << message;
    return std::move(text).str();
}

std::string serialize_head(const response& head, bool keep_alive) {
    beast_http::response<beast_http::empty_body> message{
        static_cast<beast_http::status>(head.status), 11};
    for (const auto& it : head.fields) {
        message.insert(it.name, it.value);
    }
    message.keep_alive(keep_alive);
    message.chunked(true);
    return serialize(message.base());
}

std::string encode_chunk(const std::string& bytes) {
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    return std::string{size.data(), end} + "\r\n" + bytes + "\r\n";
}

} // namespace

connection::connection(runtime::task_context context, boost::asio::ip::tcp::socket socket,
                       std::shared_ptr<server_state> server, handler handle_request,
                       connection_role role)
    : m_context{std::move(context)}, m_stream{std::move(socket)}, m_server{std::move(server)},
      m_handler{std::move(handle_request)}, m_inbox{runtime::make_mailbox<reply_command>(
                                                m_context.loop(), mailbox_capacity)},
      m_read_timer{m_context.loop()}, m_role{role} {}

connection::~connection() {
    m_server->output.release(m_output_bytes);
    release_body();
}

void connection::start() {
    set_socket_options(m_stream.socket());
    m_inbox.receive(
        m_context.wrap([this](reply_command command) { command_received(std::move(command)); }));
    if (m_role == connection_role::refusing) {
        reject(beast_http::status::service_unavailable, "too many connections");
        return;
    }
    read_request();
}

void connection::read_request() {
    m_phase = connection_phase::reading;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.max_header_bytes));
    m_parser->body_limit(m_server->limits.max_body_bytes);
    if (m_has_served_request && m_input.size() == 0) {
        wait_for_next_request();
    } else {
        read_message();
    }
}

void connection::wait_for_next_request() {
    // A kept-alive connection may be idle between requests for longer than a request may take to
    // arrive.
    start_read_timer(m_server->idle_timeout ? m_server->idle_timeout()
                                            : m_server->limits.idle_timeout);
    m_stream.socket().async_wait(boost::asio::socket_base::wait_read,
                                 m_context.wrap([this](const boost::system::error_code& ec) {
                                     // A request may have arrived just when the timer expired.
                                     if (ec && !has_unread_input()) {
                                         m_context.finish();
                                         return;
                                     }
                                     read_message();
                                 }));
}

void connection::read_message() {
    start_read_timer(read_limit());
    beast_http::async_read_header(m_stream, m_input, *m_parser,
                                  m_context.wrap([this](const boost::system::error_code& ec,
                                                        std::size_t /*size*/) { head_read(ec); }));
}

void connection::head_read(const boost::system::error_code& ec) {
    if (ec) {
        request_read(ec);
        return;
    }
    if (reject_transfer_coding()) {
        return;
    }
    if (m_parser->is_done()) {
        request_read({});
        return;
    }
    if (m_read_timed_out) {
        // The timer found no operation that it could cancel.
        request_read(boost::asio::error::operation_aborted);
        return;
    }
    read_body();
}

bool connection::reject_transfer_coding() {
    switch (transfer_coding_of(m_parser->get())) {
    case transfer_coding::supported:
        return false;
    case transfer_coding::unsupported:
        m_read_timer.cancel();
        reject(beast_http::status::not_implemented, "unsupported transfer coding");
        return true;
    case transfer_coding::unframed:
        m_read_timer.cancel();
        reject(beast_http::status::bad_request, "the end of the body cannot be found");
        return true;
    }
    return false;
}

void connection::read_body() {
    const auto length = m_parser->content_length();
    if (!length) {
        read_body_part();
        return;
    }
    if (!reserve_body(*length)) {
        reject_for_memory();
        return;
    }
    beast_http::async_read(m_stream, m_input, *m_parser,
                           m_context.wrap([this](const boost::system::error_code& ec,
                                                 std::size_t /*size*/) { request_read(ec); }));
}

void connection::read_body_part() {
    beast_http::async_read_some(
        m_stream, m_input, *m_parser,
        m_context.wrap([this](const boost::system::error_code& ec, std::size_t /*size*/) {
            if (ec || m_parser->is_done() || m_read_timed_out) {
                const bool incomplete = !ec && !m_parser->is_done();
                request_read(incomplete ? boost::asio::error::operation_aborted : ec);
                return;
            }
            if (!reserve_body(m_parser->get().body().capacity())) {
                reject_for_memory();
                return;
            }
            read_body_part();
        }));
}

bool connection::reserve_body(std::size_t size) {
    const auto needed = size * m_server->limits.copies_of_body;
    if (needed <= m_body_bytes) {
        return true;
    }
    if (!m_server->request_bodies.reserve(m_body_bytes, needed - m_body_bytes)) {
        return false;
    }
    m_body_bytes = needed;
    return true;
}

void connection::release_body() {
    m_server->request_bodies.release(std::exchange(m_body_bytes, 0));
}

void connection::reject_for_memory() {
    m_server->log.warn(
        "There is no memory for the body of a request.",
        {{"task", m_context.path()},
         {"all_request_bytes", std::to_string(m_server->request_bodies.reserved())}});
    m_read_timer.cancel();
    m_parser.reset();
    release_body();
    reject(beast_http::status::service_unavailable, "too little memory for the body");
}

void connection::start_read_timer(common::duration limit) {
    // The stream's own timeout would close the socket, and the client could not be sent an error
    // response.
    m_read_timed_out = false;
    m_read_timer.start(limit, m_context.wrap([this] {
        m_read_timed_out = true;
        m_stream.socket().cancel();
    }));
}

void connection::request_read(const boost::system::error_code& ec) {
    m_read_timer.cancel();
    if (ec == beast_http::error::body_limit) {
        reject(beast_http::status::payload_too_large, "body too large");
        return;
    }
    if (ec == beast_http::error::header_limit) {
        reject(beast_http::status::request_header_fields_too_large, "header too large");
        return;
    }
    if (ec && m_read_timed_out && (m_parser->got_some() || m_input.size() > 0)) {
        reject(beast_http::status::request_timeout, "request too slow");
        return;
    }
    if (ec.category() == beast_http::make_error_code(beast_http::error::bad_method).category() &&
        ec != beast_http::error::end_of_stream && ec != beast_http::error::partial_message) {
        reject(beast_http::status::bad_request, "malformed request");
        return;
    }
    if (ec) {
        m_context.finish();
        return;
    }
    m_has_served_request = true;
    m_phase = connection_phase::handling;
    m_keep_alive = m_parser->get().keep_alive();
    m_on_disconnect = m_handler(to_request(m_parser->release()), responder{m_inbox.address()});
    watch_for_disconnect();
}

void connection::reject(beast_http::status status, const std::string& title) {
    m_keep_alive = false;
    m_rejected = true;
    const auto code = static_cast<unsigned>(status);
    headers fields{{"Content-Type", "application/problem+json"}};
    if (status == beast_http::status::service_unavailable) {
        fields.push_back({"Retry-After", std::to_string(retry_after.count())});
    }
    send_whole_response({code, std::move(fields),
                         boost::json::serialize(boost::json::object{
                             {"title", title}, {"status", code}, {"execution", "not_run"}})});
}

void connection::watch_for_disconnect() {
    m_stream.socket().async_wait(boost::asio::socket_base::wait_read,
                                 m_context.wrap([this](const boost::system::error_code& ec) {
                                     if (ec || m_phase == connection_phase::reading ||
                                         m_phase == connection_phase::lingering) {
                                         return;
                                     }
                                     boost::system::error_code error;
                                     // A readable socket without bytes is at the end of the stream.
                                     // With bytes, the client has pipelined its next request, and a
                                     // disconnect is only noticed when a write fails.
                                     if (m_stream.socket().available(error) == 0 || error) {
                                         handle_disconnect();
                                     }
                                 }));
}

void connection::command_received(reply_command command) {
    if (m_phase == connection_phase::reading || m_phase == connection_phase::finishing ||
        m_phase == connection_phase::lingering) {
        return;
    }
    if (auto* complete = std::get_if<send_response>(&command)) {
        send_whole_response(complete->content);
    } else if (auto* head = std::get_if<begin_stream>(&command)) {
        start_stream(head->head);
    } else if (auto* chunk = std::get_if<send_chunk>(&command)) {
        add_chunk(chunk->bytes);
    } else if (std::holds_alternative<end_stream>(command)) {
        m_phase = connection_phase::finishing;
        enqueue("0\r\n\r\n");
    } else {
        m_on_disconnect = nullptr;
        m_context.finish();
    }
}

void connection::send_whole_response(const response& content) {
    beast_http::response<beast_http::string_body> message{
        static_cast<beast_http::status>(content.status), 11};
    for (const auto& it : content.fields) {
        message.insert(it.name, it.value);
    }
    message.body() = content.body;
    m_closing = !keeps_alive();
    message.keep_alive(!m_closing);
    message.prepare_payload();
    m_phase = connection_phase::finishing;
    enqueue(serialize(message));
}

void connection::start_stream(const response& head) {
    m_phase = connection_phase::streaming;
    m_closing = !keeps_alive();
    enqueue(serialize_head(head, !m_closing));
}

void connection::add_chunk(const std::string& bytes) {
    if (m_phase != connection_phase::streaming || bytes.empty()) {
        return;
    }
    if (m_output_bytes + bytes.size() > m_server->limits.max_buffered_bytes) {
        close_slow_reader();
        return;
    }
    enqueue(encode_chunk(bytes));
}

void connection::close_slow_reader() {
    m_server->log.warn("The client does not read; closing the connection.",
                       {{"task", m_context.path()},
                        {"buffered_bytes", std::to_string(m_output_bytes)},
                        {"all_buffered_bytes", std::to_string(m_server->output.reserved())}});
    handle_disconnect();
}

void connection::enqueue(std::string bytes) {
    if (!m_server->output.reserve(m_output_bytes, bytes.size())) {
        close_slow_reader();
        return;
    }
    m_output_bytes += bytes.size();
    m_output.push_back(std::move(bytes));
    if (!m_writing) {
        write_next();
    }
}

void connection::write_next() {
    if (m_output.empty()) {
        if (m_phase == connection_phase::finishing) {
            response_complete();
        }
        return;
    }
    m_writing = true;
    m_stream.expires_after(m_server->limits.write_timeout);
    boost::asio::async_write(m_stream, boost::asio::buffer(m_output.front()),
                             m_context.wrap([this](const boost::system::error_code& ec,
                                                   std::size_t /*size*/) { write_completed(ec); }));
}

void connection::write_completed(const boost::system::error_code& ec) {
    m_writing = false;
    if (ec) {
        handle_disconnect();
        return;
    }
    m_stream.expires_never();
    m_output_bytes -= m_output.front().size();
    m_server->output.release(m_output.front().size());
    m_output.pop_front();
    write_next();
}

void connection::response_complete() {
    m_on_disconnect = nullptr;
    release_body();
    if (m_closing) {
        boost::system::error_code ec;
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        const bool expected = !m_keep_alive && !m_rejected;
        if (expected && !has_unread_input()) {
            m_context.finish();
        } else {
            linger();
        }
        return;
    }
    // Ends the wait for a disconnect, so that it cannot fire for the next request.
    m_stream.socket().cancel();
    read_request();
    if (m_stopping) {
        stop_reading();
    }
}

bool connection::has_unread_input() {
    boost::system::error_code ec;
    return m_stream.socket().available(ec) > 0;
}

void connection::linger() {
    m_phase = connection_phase::lingering;
    // Ends the wait for a disconnect, which would take discarded input for the end of the stream.
    m_stream.socket().cancel();
    m_stream.expires_after(linger_time);
    discard_input();
}

void connection::discard_input() {
    m_input.clear();
    m_stream.async_read_some(
        m_input.prepare(discard_buffer_bytes),
        m_context.wrap([this](const boost::system::error_code& ec, std::size_t size) {
            m_discarded_bytes += size;
            if (ec || m_discarded_bytes > m_server->limits.max_body_bytes) {
                m_context.finish();
                return;
            }
            discard_input();
        }));
}

void connection::handle_disconnect() {
    if (auto hook = std::exchange(m_on_disconnect, nullptr)) {
        hook();
    }
    m_context.finish();
}

void connection::stop(const runtime::stop_done& done) {
    m_stopping = true;
    // Refusals stop before the other connections and must not delay them.
    if (m_role == connection_role::refusing && m_phase == connection_phase::lingering) {
        done();
        return;
    }
    m_stop_callback = done;
    // A read that has completed may be queued on the loop, and its bytes are not visible yet.
    m_context.loop().post(m_context.wrap([this] { stop_reading(); }));
}

void connection::stop_reading() {
    if (m_phase != connection_phase::reading) {
        return;
    }
    if (m_parser->got_some() || m_input.size() > 0 || has_unread_input()) {
        start_read_timer(read_limit());
    } else {
        m_stop_callback();
    }
}

common::duration connection::read_limit() const {
    const auto limit = m_server->limits.read_timeout;
    if (!m_stopping) {
        return limit;
    }
    const auto left = m_server->stop_read_deadline - common::monotonic_clock::now();
    return std::clamp(left, common::duration::zero(), limit);
}

void connection::close() noexcept {
    m_inbox.close();
    m_read_timer.cancel();
    boost::system::error_code ec;
    m_stream.socket().close(ec);
    if (auto hook = std::exchange(m_on_disconnect, nullptr)) {
        hook();
    }
}

bool connection::keeps_alive() const {
    return m_keep_alive && !m_stopping && !m_server->stopping;
}

boost::json::value connection::dump() const {
    return boost::json::object{{"phase", common::to_name(m_phase)},
                               {"buffered_bytes", m_output_bytes}};
}

} // namespace jujubemast::http
