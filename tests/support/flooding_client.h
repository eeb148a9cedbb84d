#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "http/message.h"

namespace jujubemast::tests {

/// What a client sends on each of its connections. The bytes need not be valid HTTP.
struct flood {
    /// Sent once.
    std::string begin;
    /// Sent again and again.
    std::string repeated;
    /// Whether the server sends bytes after `begin` for which the client waits, as in a handshake.
    bool has_handshake = false;
};

/// Connections to one server that are closed by the destructor. Responses are not read.
class client_connections {
public:
    client_connections() = default;
    ~client_connections();
    client_connections(const client_connections&) = delete;
    client_connections& operator=(const client_connections&) = delete;

    /// Opens connections and sends the bytes on each. Fewer are opened if the server refuses them.
    void open(const http::endpoint& server, int count, const std::string& bytes);

    /// Opens connections and sends the flood on all of them at the same time, at most `limit` bytes
    /// on each. Returns when these have been sent, or the server has closed the connections or has
    /// not read from them for a second. Returns how many bytes were sent after the first ones.
    std::size_t send_flood(const http::endpoint& server, int count, const flood& content,
                           std::size_t limit);

    [[nodiscard]] std::size_t count() const { return m_descriptors.size(); }

private:
    std::vector<int> m_descriptors;
};

} // namespace jujubemast::tests
