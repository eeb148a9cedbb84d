#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "http/connection.h"

namespace jujubemast::http {

namespace {

// Retry delay of requests that are refused for lack of connections or memory.
constexpr std::chrono::seconds retry_after{1};

/// Whether the request exceeds a limit that ordinary ones never reach.
bool is_flood(request_fault fault) {
    return fault == request_fault::header_too_large || fault == request_fault::trailers_too_large ||
           fault == request_fault::framing_too_large;
}

} // namespace

void connection::begin_waiting() {
    end_waiting();
    if (m_role == connection_role::serving) {
        m_waiting_id = m_server->waiting.add(m_inbox.address());
    }
}

void connection::end_waiting() {
    if (m_waiting_id) {
        m_server->waiting.remove(*m_waiting_id);
        m_waiting_id.reset();
    }
}

void connection::read_request() {
    m_phase = connection_phase::reading;
    const auto& limits = m_server->limits;
    m_limits = m_server->current_limits
                   ? m_server->current_limits()
                   : request_limits{limits.max_header_bytes, limits.max_body_bytes,
                                    limits.read_timeout, limits.idle_timeout};
    m_reader.begin({m_limits.max_header_bytes, m_limits.max_body_bytes});
    m_reader.release_buffer();
    (void)m_account.set(memory_use::input, m_reader.input_bytes());
    m_head_read = false;
    m_is_head = false;
    m_body_received = 0;
    begin_waiting();
    if (m_reader.has_input()) {
        read_message();
    } else {
        wait_for_request();
    }
}

void connection::wait_for_request() {
    m_idle = true;
    m_read_start = common::monotonic_clock::now();
    start_read_timer();
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
    m_idle = false;
    m_read_start = common::monotonic_clock::now();
    start_read_timer();
    parse_input();
}

void connection::parse_input() {
    switch (m_reader.advance()) {
    case read_progress::needs_input:
        read_more();
        return;
    case read_progress::head_complete:
        head_read();
        return;
    case read_progress::request_complete:
        request_read();
        return;
    case read_progress::failed:
        reject(m_reader.fault());
        return;
    }
}

void connection::read_more() {
    if (m_read_timed_out) {
        // The timer found no operation that it could cancel.
        read_failed();
        return;
    }
    const auto buffer = m_reader.prepare();
    if (!m_account.set(memory_use::input, m_reader.input_bytes()) ||
        !reserve_body(m_reader.body_memory())) {
        reject_for_memory();
        return;
    }
    m_stream.async_read_some(
        buffer, m_context.wrap([this](const boost::system::error_code& ec, std::size_t size) {
            if (ec) {
                read_failed();
                return;
            }
            m_body_received += m_head_read ? size : 0;
            m_reader.commit(size);
            parse_input();
        }));
}

void connection::read_failed() {
    m_read_timer.cancel();
    if (m_read_timed_out && m_reader.has_input()) {
        reject(408, "request too slow");
        return;
    }
    m_context.finish();
}

void connection::head_read() {
    m_head_read = true;
    const auto length = m_reader.content_length().value_or(0);
    if (!m_account.set(memory_use::header, m_reader.head_memory()) || !reserve_body(length)) {
        reject_for_memory();
        return;
    }
    parse_input();
}

bool connection::reserve_body(std::size_t size) {
    const auto needed = size * m_server->limits.copies_of_body;
    return needed <= m_account.held(memory_use::body) || m_account.set(memory_use::body, needed);
}

void connection::reject_for_memory() {
    m_server->log.warn(
        "There is no memory for a request.",
        {{"task", m_context.path()},
         {"all_input_bytes", std::to_string(m_server->memory->input.reserved())},
         {"all_request_bytes", std::to_string(m_server->memory->bodies.reserved())}});
    reject(503, "too little memory for the request");
}

common::time_point connection::read_deadline() const {
    const auto& limits = m_server->limits;
    auto limit = m_limits.idle_timeout;
    if (m_head_read) {
        const std::chrono::duration<double> body_time{static_cast<double>(m_body_received) /
                                                      static_cast<double>(limits.min_body_rate)};
        limit = std::max(limits.read_timeout, m_limits.header_timeout) +
                std::chrono::duration_cast<common::duration>(body_time);
    } else if (!m_idle) {
        limit = m_limits.header_timeout;
    }
    const auto deadline = m_read_start + limit;
    return m_stopping ? std::min(deadline, m_server->stop_read_deadline) : deadline;
}

void connection::start_read_timer() {
    // The stream's own timeout would close the socket, and the client could not be sent an error
    // response.
    m_read_timed_out = false;
    const auto left = read_deadline() - common::monotonic_clock::now();
    m_read_timer.start(std::max(left, common::duration::zero()), m_context.wrap([this] {
        if (common::monotonic_clock::now() < read_deadline()) {
            start_read_timer();
            return;
        }
        m_read_timed_out = true;
        m_stream.socket().cancel();
    }));
}

void connection::request_read() {
    m_read_timer.cancel();
    if (!reserve_body(m_reader.body_memory())) {
        reject_for_memory();
        return;
    }
    end_waiting();
    m_phase = connection_phase::handling;
    m_keep_alive = m_reader.keep_alive();
    auto message = m_reader.take();
    m_is_head = message.method == "HEAD";
    m_on_disconnect = m_handler(std::move(message), responder{m_inbox.address()});
    watch_for_disconnect();
}

void connection::reject(request_fault fault) {
    m_floods = is_flood(fault);
    reject(status_of(fault), common::to_name(fault));
}

void connection::reject(unsigned status, std::string_view title) {
    m_read_timer.cancel();
    end_waiting();
    m_reader.discard();
    m_account.clear(memory_use::header);
    m_account.clear(memory_use::body);
    m_keep_alive = false;
    m_rejected = true;
    headers fields{{"Content-Type", "application/problem+json"}};
    if (status == 503) {
        fields.push_back({"Retry-After", std::to_string(retry_after.count())});
    }
    send_whole_response({status, std::move(fields),
                         boost::json::serialize(boost::json::object{
                             {"title", title}, {"status", status}, {"execution", "not_run"}})});
}

void connection::stop_reading() {
    if (m_phase != connection_phase::reading) {
        return;
    }
    if (m_reader.has_input() || has_unread_input()) {
        start_read_timer();
    } else {
        m_stop_callback();
    }
}

} // namespace jujubemast::http
