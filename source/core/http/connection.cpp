#include "http/connection.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "http/socket_options.h"

namespace jujubemast::http {

namespace beast_http = boost::beast::http;

namespace {

// Limit on the commands queued for a connection's task. A streamed response takes one command per
// chunk.
constexpr std::size_t mailbox_capacity = 4096;

// A client that does not expect the close may still be sending. Closing at once would reset the
// connection and could discard the response before the client has read it.
constexpr common::duration linger_time = std::chrono::seconds{1};
// A client that exceeds a limit which ordinary ones never reach is read from last: this much at
// most, and with a pause after each read.
constexpr std::size_t max_discarded_of_flood = std::size_t{256} * 1024;
constexpr common::duration flood_pause = std::chrono::milliseconds{10};
// The write timeout applies to this much output, so that a client which reads a large response
// slowly but steadily gets it.
constexpr std::size_t write_bytes = std::size_t{64} * 1024;

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
      m_account{m_server->memory}, m_read_timer{m_context.loop()}, m_role{role} {}

connection::~connection() {
    end_waiting();
}

void connection::start() {
    set_socket_options(m_stream.socket());
    m_inbox.receive(
        m_context.wrap([this](reply_command command) { command_received(std::move(command)); }));
    if (m_role == connection_role::refusing) {
        reject(503, "too many connections");
        return;
    }
    read_request();
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
    if (std::holds_alternative<make_room>(command)) {
        if (m_phase == connection_phase::reading || m_phase == connection_phase::lingering) {
            m_context.finish();
        }
        return;
    }
    if (m_phase != connection_phase::handling && m_phase != connection_phase::streaming) {
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
        end_stream_body();
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
    if (m_is_head) {
        if (content.body.empty()) {
            // The response to GET may have a body of another length.
            message.erase(beast_http::field::content_length);
        }
        message.body().clear();
    }
    m_phase = connection_phase::finishing;
    enqueue(serialize(message));
}

void connection::start_stream(const response& head) {
    m_phase = connection_phase::streaming;
    m_closing = !keeps_alive();
    enqueue(serialize_head(head, !m_closing));
}

void connection::add_chunk(const std::string& bytes) {
    if (m_phase != connection_phase::streaming || bytes.empty() || m_is_head) {
        return;
    }
    if (m_account.held(memory_use::output) + bytes.size() > m_server->limits.max_buffered_bytes) {
        close_slow_reader();
        return;
    }
    enqueue(encode_chunk(bytes));
}

void connection::end_stream_body() {
    if (!m_is_head) {
        enqueue("0\r\n\r\n");
    } else if (!m_writing) {
        write_next();
    }
}

void connection::close_slow_reader() {
    m_server->log.warn(
        "The client does not read; closing the connection.",
        {{"task", m_context.path()},
         {"buffered_bytes", std::to_string(m_account.held(memory_use::output))},
         {"all_buffered_bytes", std::to_string(m_server->memory->output.reserved())}});
    handle_disconnect();
}

void connection::enqueue(std::string bytes) {
    if (!m_account.set(memory_use::output, m_account.held(memory_use::output) + bytes.size())) {
        close_slow_reader();
        return;
    }
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
    const auto rest = boost::asio::buffer(m_output.front()) + m_output_sent;
    boost::asio::async_write(
        m_stream, boost::asio::buffer(rest, write_bytes),
        m_context.wrap([this](const boost::system::error_code& ec, std::size_t size) {
            write_completed(ec, size);
        }));
}

void connection::write_completed(const boost::system::error_code& ec, std::size_t size) {
    m_writing = false;
    if (m_phase == connection_phase::closed) {
        return;
    }
    if (ec) {
        handle_disconnect();
        return;
    }
    m_stream.expires_never();
    m_output_sent += size;
    if (m_output_sent == m_output.front().size()) {
        m_account.release(memory_use::output, m_output_sent);
        m_output_sent = 0;
        m_output.pop_front();
    }
    write_next();
}

void connection::response_complete() {
    m_on_disconnect = nullptr;
    m_account.clear(memory_use::header);
    m_account.clear(memory_use::body);
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
    begin_waiting();
    m_reader.drop_input();
    m_account.clear(memory_use::input);
    // Ends the wait for a disconnect, which would take discarded input for the end of the stream.
    m_stream.socket().cancel();
    m_stream.expires_after(linger_time);
    m_linger_end = common::monotonic_clock::now() + linger_time;
    discard_input();
}

void connection::discard_input() {
    m_stream.async_read_some(
        boost::asio::buffer(m_server->discarded),
        m_context.wrap([this](const boost::system::error_code& ec, std::size_t size) {
            m_discarded_bytes += size;
            const auto limit = m_floods ? max_discarded_of_flood : m_limits.max_body_bytes;
            if (ec || m_discarded_bytes > limit || common::monotonic_clock::now() >= m_linger_end) {
                m_context.finish();
                return;
            }
            if (!m_floods) {
                discard_input();
                return;
            }
            m_read_timer.start(flood_pause, m_context.wrap([this] { discard_input(); }));
        }));
}

void connection::drop_output() {
    const std::size_t in_use = m_writing ? 1 : 0;
    while (m_output.size() > in_use) {
        m_account.release(memory_use::output, m_output.back().size());
        m_output.pop_back();
    }
}

void connection::handle_disconnect() {
    if (m_phase == connection_phase::closed) {
        return;
    }
    m_phase = connection_phase::closed;
    // Other connections that need memory in this turn of the event loop would be closed as well.
    drop_output();
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

void connection::close() noexcept {
    end_waiting();
    m_inbox.close();
    m_read_timer.cancel();
    boost::system::error_code ec;
    m_stream.socket().close(ec);
    if (auto hook = std::exchange(m_on_disconnect, nullptr)) {
        hook();
    }
}

bool connection::keeps_alive() const {
    // A request that has been read behind the current one gets its response also in a stop.
    const bool stopping = m_stopping || m_server->stopping;
    return m_keep_alive && (!stopping || m_reader.has_further_input());
}

boost::json::value connection::dump() const {
    return boost::json::object{{"phase", common::to_name(m_phase)},
                               {"held_bytes", m_account.total()},
                               {"buffered_bytes", m_account.held(memory_use::output)}};
}

} // namespace jujubemast::http
