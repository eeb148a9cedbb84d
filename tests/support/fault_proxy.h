#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jujubemast::tests {

/// A TCP proxy on its own thread that injects the faults of a network between two processes. All
/// calls take effect before they return.
class fault_proxy {
public:
    /// Listens on a port of the kernel's choice and passes connections on to the target.
    explicit fault_proxy(const std::string& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] const std::string& address() const;

    /// Where new connections go from now on.
    void set_target(const std::string& target);
    /// Closes all connections with a reset.
    void reset_connections();
    /// Existing connections stay open and pass nothing more, for good; new ones work.
    void stall_existing();
    /// While set, new connections are closed at once.
    void set_refusing(bool refusing);
    /// Holds back each piece for this time.
    void set_delay(std::chrono::milliseconds delay);
    /// Limits each direction of a connection; zero means no limit.
    void set_rate(std::size_t bytes_per_second);
    /// The next answers, one for each connection that receives bytes from the target, are dropped
    /// and their connections closed.
    void drop_responses(int count);

    [[nodiscard]] std::size_t connections() const;

private:
    struct implementation;
    void run(const std::function<void()>& change) const;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace jujubemast::tests
