#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "common/enum_names.h"
#include "common/time.h"
#include "http/message.h"
#include "runtime/mailbox.h"
#include "runtime/supervisor.h"

namespace jujubemast::http {

/// Sends a complete response.
struct send_response {
    response content;
};

/// Sends status and header fields; the body follows in chunks.
struct begin_stream {
    response head;
};

struct send_chunk {
    std::string bytes;
};

struct end_stream {};

/// Closes the connection at once, so that the client sees an incomplete response.
struct abort_connection {};

/// Sent by the listener: closes the connection if it has no request in progress, so that its
/// descriptor serves another client.
struct make_room {};

using reply_command =
    std::variant<send_response, begin_stream, send_chunk, end_stream, abort_connection, make_room>;

/// Responds to one request, either with a complete response or with a stream. Any task may hold it;
/// each call sends a message to the connection's task and returns false when the connection is
/// closed.
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

/// Called when the client closes its connection before the response is complete.
using disconnect_hook = std::function<void()>;

/// Handles one request; called in the task of its connection. Returns the hook for a disconnect,
/// which may be empty.
using handler = std::function<disconnect_hook(request, responder)>;

/// Limits of each request, which may change while the server runs.
struct request_limits {
    /// Limit of the start line and all fields, including trailers.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// Longest time from the first byte of a request to the end of its header.
    common::duration header_timeout = std::chrono::seconds{10};
    /// How long a connection may be idle before a request.
    common::duration idle_timeout = std::chrono::seconds{60};
};

/// What happens at the limit of connections when a further client connects.
enum class connection_overflow {
    /// The new connection is refused.
    refuse_new,
    /// The connection that has waited longest without a request in progress is closed. If all have
    /// one, the new connection is refused.
    close_longest_waiting
};

/// Limits that protect the server against slow or idle clients and large requests.
struct server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::size_t max_connections = 4096;
    connection_overflow when_full = connection_overflow::refuse_new;
    /// Limit on the connections beyond `max_connections` that are sent a refusal at the same time.
    std::size_t max_refusals = 64;
    /// A connection whose unsent output exceeds this size is closed.
    std::size_t max_buffered_bytes = std::size_t{1024} * 1024;
    /// Memory for the bodies of requests of all connections, in bytes. Beyond it, requests are
    /// refused as `buffer_budget` decides.
    std::size_t request_buffer_bytes = std::numeric_limits<std::size_t>::max();
    /// Memory that a handler holds for each byte of a body until the response is complete.
    std::size_t copies_of_body = 1;
    /// Memory for the unsent output of all connections, in bytes. Beyond it, connections are closed
    /// as `buffer_budget` decides.
    std::size_t output_buffer_bytes = std::numeric_limits<std::size_t>::max();
    /// Memory for unparsed input and headers of all connections, in bytes. Beyond it, requests are
    /// refused as `buffer_budget` decides.
    std::size_t input_buffer_bytes = std::numeric_limits<std::size_t>::max();
    /// Everything that one connection may make the process hold, in bytes.
    std::size_t max_connection_bytes = std::numeric_limits<std::size_t>::max();
    /// Longest time from the first byte of a request to its end, without the time for its body at
    /// the lowest rate.
    common::duration read_timeout = std::chrono::seconds{10};
    /// Lowest rate at which a body may arrive, in bytes per second.
    std::size_t min_body_rate = std::size_t{16} * 1024;
    /// Longest time for which a client may take in 64 KiB of output, or less if there is less.
    common::duration write_timeout = std::chrono::seconds{10};
    /// How long a connection may be idle before a request.
    common::duration idle_timeout = std::chrono::seconds{60};
};

struct server_options {
    endpoint listen;
    server_limits limits;
    /// How long the listener still accepts connections after the start of an ordered stop.
    common::duration stop_grace = common::duration::zero();
    /// How long after the start of an ordered stop the rest of a request may still arrive.
    common::duration stop_read_limit = std::chrono::seconds{10};
    /// A server whose ordered stop takes longer than this is closed. The grace period counts.
    common::duration stop_limit = std::chrono::seconds{60};
    /// Returns the current limits of requests; without this hook those of `limits` apply.
    std::function<request_limits()> current_limits;
    /// Called at the start of an ordered stop, before the grace period.
    std::function<void()> on_stopping;
    /// Called with the bound address, which contains the port that the kernel chose for port 0.
    std::function<void(const endpoint&)> on_listening;
};

/// Returns the child specification of a server: a listener, and one task for each connection.
runtime::child_spec make_server(std::string name, server_options options, handler handle_request);

} // namespace jujubemast::http

namespace jujubemast::common {

template <>
struct enum_names<http::connection_overflow> {
    static constexpr std::array<std::string_view, 2> table{"refuse_new", "close_longest_waiting"};
};

} // namespace jujubemast::common
