#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "common/enum_names.h"
#include "common/time.h"
#include "http/message.h"
#include "runtime/task.h"

namespace jujubemast::http {

/// Why a call ended without a complete response.
enum class call_error_kind { connect, timeout, closed, malformed, too_large };

/// A call that ended without a complete response.
struct call_error {
    call_error_kind kind = call_error_kind::connect;
    /// Whether the server may have received the request. False means that it certainly has not.
    bool sent = false;
    std::string detail;
};

struct client_limits {
    common::duration connect_timeout = std::chrono::seconds{1};
    /// Longest wait for the header of the response.
    common::duration head_timeout = std::chrono::seconds{10};
    /// Longest wait between two reads of the response body.
    common::duration progress_timeout = std::chrono::seconds{5};
    /// Longest time from the start of a call to the end of its response. Zero means no limit, for
    /// callers that cancel their calls themselves: a body that keeps arriving in small parts never
    /// exceeds the timeouts above.
    common::duration total_timeout = common::duration::zero();
    std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
    /// Connections that are kept for later calls, and for how long.
    std::size_t max_idle_connections = 16;
    common::duration idle_lifetime = std::chrono::seconds{20};
    /// Idle connections are closed when they and those of the calls in progress exceed this number.
    /// It does not limit the calls: each holds a connection.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

/// Receives the events of a call, in this order: `on_head`, any number of `on_data`, `on_done`.
/// `on_error` ends the call at any point. No hook is called after `client::cancel`.
struct call_hooks {
    std::function<void(unsigned status, const headers& fields)> on_head;
    std::function<void(std::string_view bytes)> on_data;
    std::function<void()> on_done;
    std::function<void(const call_error&)> on_error;
};

struct call_options {
    /// An idempotent call may use an idle connection. Every other call opens a connection of its
    /// own, which carries nothing but its response and is closed after it.
    bool idempotent = true;
    /// Whether an idempotent call is sent again on a new connection when the idle one turns out to
    /// be closed. Callers that count their attempts turn this off and retry themselves.
    bool retry_on_stale_connection = true;
    /// Zero means the limit of the client.
    common::duration head_timeout = common::duration::zero();
    /// Zero means the limit of the client.
    common::duration total_timeout = common::duration::zero();
    /// Zero means the limit of the client.
    std::size_t max_body_bytes = 0;
};

using call_id = std::uint64_t;
using call_result = std::variant<response, call_error>;

/// Makes HTTP calls to one server over pooled connections. Owned by one task, whose context wraps
/// all hooks.
class client {
public:
    client(runtime::task_context context, endpoint server, client_limits limits = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a call and streams its response to the hooks.
    call_id start(const request& message, call_hooks hooks, call_options options = {});

    /// Starts a call and delivers the whole response, or the error.
    call_id send(const request& message, std::function<void(call_result)> done,
                 call_options options = {});

    /// Ends a call by closing its connection. Unknown ids are ignored.
    void cancel(call_id id);

    /// Ends all calls without calling their hooks, and closes all connections.
    void close() noexcept;

    [[nodiscard]] std::size_t calls_in_progress() const;

    [[nodiscard]] std::size_t idle_connections() const;

    /// Changes `client_limits::max_connections`.
    void set_max_connections(std::size_t limit);

    /// Implementation detail; public because other classes of the source file use it.
    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace jujubemast::http

namespace jujubemast::common {

template <>
struct enum_names<http::call_error_kind> {
    static constexpr std::array<std::string_view, 5> table{"connect", "timeout", "closed",
                                                           "malformed", "too_large"};
};

} // namespace jujubemast::common
