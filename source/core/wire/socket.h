#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/task.h"

namespace jujubemast::wire {

/// Limits of a ZeroMQ socket.
struct socket_limits {
    /// Messages that ZeroMQ may queue for sending on one connection.
    int high_water_mark = 1000;
    /// Messages that ZeroMQ may queue after receiving them on one connection.
    int receive_high_water_mark = 1000;
    /// A connection that sends a larger message is closed. Negative for no limit.
    std::int64_t max_message_bytes = -1;
};

/// The connecting end of a link: a ZeroMQ DEALER socket connected to one sidecar or gateway. It
/// queues no messages for a peer that is not connected and drops unsent messages when it is
/// destroyed.
class dealer {
public:
    using receive_hook = std::function<void(std::string bytes)>;

    /// Throws `common::network_error` for an address that ZeroMQ does not accept.
    dealer(const runtime::task_context& context, const std::string& remote_address,
           receive_hook on_message, const socket_limits& limits = {});
    ~dealer();
    dealer(const dealer&) = delete;
    dealer& operator=(const dealer&) = delete;

    /// Sends a message. Returns false if the peer is not connected or its queue is full.
    bool send(std::string_view bytes);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// The listening end of all links of a process: a ZeroMQ ROUTER socket that identifies each
/// connection by a routing id.
class router {
public:
    using receive_hook = std::function<void(std::string routing_id, std::string bytes)>;

    /// Binds to an address such as "127.0.0.1:0". Throws `common::network_error` on failure.
    router(const runtime::task_context& context, const std::string& local_address,
           receive_hook on_message, const socket_limits& limits = {});
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Sends a message. Returns false if the connection is closed or its queue is full.
    bool send(std::string_view routing_id, std::string_view bytes);

    /// Returns the bound address as "IP:PORT".
    [[nodiscard]] std::string address() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace jujubemast::wire
