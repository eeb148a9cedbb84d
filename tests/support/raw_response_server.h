#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace jujubemast::tests {

/// Bytes that a server sends: a beginning, then a part without end.
struct raw_response {
    std::string begin;
    /// Repeated until the caller closes. Empty for an answer that ends.
    std::string repeated;
    /// Pause before each repetition.
    std::chrono::milliseconds pause{0};
};

/// A server that sends what it likes, on threads of its own. A connection is served until its
/// caller closes it.
class raw_response_server {
public:
    /// Called on a thread of the server with the head and the length-delimited body of a request.
    using respond_hook = std::function<raw_response(const std::string& request)>;

    explicit raw_response_server(respond_hook respond);
    ~raw_response_server();
    raw_response_server(const raw_response_server&) = delete;
    raw_response_server& operator=(const raw_response_server&) = delete;

    [[nodiscard]] std::string address() const;

    [[nodiscard]] std::size_t requests() const;
    [[nodiscard]] std::size_t connections() const;
    /// Connections that their callers have not closed.
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::size_t bytes_sent() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace jujubemast::tests
