#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "common/time.h"
#include "http/message.h"
#include "runtime/mailbox.h"
#include "runtime/supervisor.h"

namespace jujubemast::http {

/// Answers the request with a complete response.
struct send_response {
    response content;
};

/// Sends status and header fields; the body follows in pieces.
struct begin_stream {
    response head;
};

struct send_chunk {
    std::string bytes;
};

struct end_stream {};

/// Closes the connection at once, so that the caller sees an incomplete answer.
struct abort_connection {};

using reply_command =
    std::variant<send_response, begin_stream, send_chunk, end_stream, abort_connection>;

/// Answers one request, either whole or as a stream. Any task may hold it; each call sends a
/// message to the connection's task and returns false when the connection is gone.
class responder {
public:
    responder() = default;
    explicit responder(runtime::address<reply_command> connection)
        : m_connection{std::move(connection)} {}

    bool respond(response content) const {
        return m_connection.send(send_response{std::move(content)});
    }
    bool begin(response head) const { return m_connection.send(begin_stream{std::move(head)}); }
    bool write(std::string bytes) const { return m_connection.send(send_chunk{std::move(bytes)}); }
    bool end() const { return m_connection.send(end_stream{}); }
    bool abort() const { return m_connection.send(abort_connection{}); }

private:
    runtime::address<reply_command> m_connection;
};

/// Called when the caller closes its connection before the answer is complete.
using disconnect_hook = std::function<void()>;

/// Handles one request; called in the task of its connection. Returns the hook for a disconnect,
/// which may be empty.
using handler = std::function<disconnect_hook(request, responder)>;

/// Bounds that protect the server from slow, large or idle callers.
struct server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::size_t max_connections = 4096;
    /// Connections past the limit that are being told so at the same time.
    std::size_t max_refusals = 64;
    /// A connection whose unsent output exceeds this size is closed.
    std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
    common::duration read_timeout = std::chrono::seconds{10};
    common::duration write_timeout = std::chrono::seconds{10};
    common::duration idle_timeout = std::chrono::seconds{60};
};

struct server_options {
    endpoint listen;
    server_limits limits;
    /// After the start of an ordered stop the listener accepts connections for this time.
    common::duration stop_grace = common::duration::zero();
    /// Gives the idle timeout in force; empty means the one of `limits`.
    std::function<common::duration()> idle_timeout;
    /// Called at the start of an ordered stop, before the grace period.
    std::function<void()> on_stopping;
    /// Called with the bound address, which names the port that the kernel chose for port 0.
    std::function<void(const endpoint&)> on_listening;
};

/// Describes a server for a supervisor: a listener, and one task for each connection.
runtime::child_spec make_server(std::string name, server_options options, handler handle_request);

} // namespace jujubemast::http
