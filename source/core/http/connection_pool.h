#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include <boost/beast/core/tcp_stream.hpp>

#include "common/time.h"
#include "runtime/task.h"

namespace jujubemast::http {

/// Idle connections of a client to its server, kept for later calls. Belongs to the client's task.
class connection_pool {
public:
    using connection = std::unique_ptr<boost::beast::tcp_stream>;

    /// Keeps at most `max_size` connections.
    connection_pool(const runtime::task_context& context, std::size_t max_size);

    /// Returns the connection that was used last, or null if none is usable. One that the server
    /// has closed, or has sent bytes on, is not.
    connection take();

    /// Keeps a connection for this time.
    void keep(connection idle, common::duration lifetime);

    /// Closes the oldest connections beyond this number.
    void shrink_to(std::size_t limit);

    /// Closes all connections.
    void clear() noexcept;

    [[nodiscard]] std::size_t size() const { return m_connections.size(); }

private:
    struct idle_connection {
        connection stream;
        common::time_point expires_at;
    };

    /// Closes the connections whose lifetime is over, and schedules the next check.
    void close_expired();

    runtime::task_context m_context;
    std::size_t m_max_size;
    /// Oldest first.
    std::list<idle_connection> m_connections;
    runtime::timer m_expiry_timer;
};

} // namespace jujubemast::http
