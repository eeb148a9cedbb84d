#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/task.h"

namespace jujubemast::wire {

/// Bounds of a ZeroMQ socket.
struct socket_limits {
    /// Messages that ZeroMQ may hold in each direction of one connection.
    int high_water_mark = 1000;
};

/// The entry's end of a link: a ZeroMQ DEALER connected to one sidecar. It holds no message for a
/// peer that is not connected, and drops unsent messages when it is destroyed.
class dealer {
public:
    using receive_hook = std::function<void(std::string bytes)>;

    /// Throws `common::network_error` for an address that ZeroMQ does not accept.
    dealer(const runtime::task_context& context, const std::string& remote_address,
           receive_hook on_message, const socket_limits& limits = {});
    ~dealer();
    dealer(const dealer&) = delete;
    dealer& operator=(const dealer&) = delete;

    /// Sends a message. Returns false when the peer is not connected or its buffer is full.
    bool send(std::string_view bytes);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// The sidecar's end of all links: a ZeroMQ ROUTER that names each connection by a routing id.
class router {
public:
    using receive_hook = std::function<void(std::string routing_id, std::string bytes)>;

    /// Binds to an address such as "127.0.0.1:0". Throws `common::network_error` on failure.
    router(const runtime::task_context& context, const std::string& local_address,
           receive_hook on_message, const socket_limits& limits = {});
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Sends a message. Returns false when the connection is gone or its buffer is full.
    bool send(std::string_view routing_id, std::string_view bytes);

    /// The bound address as "IP:PORT".
    [[nodiscard]] std::string address() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace jujubemast::wire
