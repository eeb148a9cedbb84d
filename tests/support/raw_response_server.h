#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace jujubemast::tests {

/// What the server does with the connection after a response that ends.
enum class after_response { keep, close, reset };

/// Bytes that the server sends as a response. They need not be valid HTTP and need not end.
struct raw_response {
    /// Sent once.
    std::string begin;
    /// Sent after `begin` again and again until the client closes. Empty for a response that ends.
    std::string repeated;
    /// Pause before each repetition.
    std::chrono::milliseconds pause{0};
    after_response after = after_response::keep;
};

/// A server that sends arbitrary bytes as responses, on its own threads. A connection is served
/// until the client closes it.
class raw_response_server {
public:
    /// Returns the response to a request. Called on a thread of the server with the request's head
    /// and body; only bodies with a Content-Length are read.
    using respond_hook = std::function<raw_response(const std::string& request)>;

    explicit raw_response_server(respond_hook respond);
    ~raw_response_server();
    raw_response_server(const raw_response_server&) = delete;
    raw_response_server& operator=(const raw_response_server&) = delete;

    [[nodiscard]] std::string address() const;

    [[nodiscard]] std::size_t requests() const;
    [[nodiscard]] std::size_t connections() const;
    /// Number of connections that the clients have not closed.
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::size_t bytes_sent() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace jujubemast::tests
