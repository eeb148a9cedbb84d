#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jujubemast::tests {

/// A TCP proxy on its own thread that injects network faults between two processes. Each call takes
/// effect before it returns.
class fault_proxy {
public:
    /// Listens on an ephemeral port and forwards connections to the target.
    explicit fault_proxy(const std::string& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] const std::string& address() const;

    /// Changes the target of new connections.
    void set_target(const std::string& target);
    /// Closes all connections with a reset.
    void reset_connections();
    /// Keeps the existing connections open but forwards nothing on them any more. New connections
    /// work.
    void stall_existing();
    /// While set, new connections are closed with a reset.
    void set_refusing(bool refusing);
    /// Delays each forwarded block of bytes.
    void set_delay(std::chrono::milliseconds delay);
    /// Limits the throughput of each direction of a connection. Zero means no limit.
    void set_rate(std::size_t bytes_per_second);
    /// Resets the next `count` connections on which the target sends bytes, without forwarding
    /// these.
    void drop_responses(int count);

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const;

private:
    struct implementation;
    void run(const std::function<void()>& change) const;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace jujubemast::tests
