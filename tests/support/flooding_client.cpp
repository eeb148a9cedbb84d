#include "support/flooding_client.h"

#include <array>
#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace jujubemast::tests {

namespace {

constexpr std::size_t block_bytes = std::size_t{64} * 1024;

/// Returns the descriptor of a new connection, or -1.
int connect_to(const http::endpoint& server) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    const timeval limit{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

/// Returns false if the server has closed the connection or does not read.
bool send_bytes(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads until the server sends nothing for a moment. Returns whether it has sent anything.
bool wait_for_handshake(int descriptor) {
    const timeval limit{0, 200'000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::array<char, 4096> buf{};
    bool received = false;
    while (::recv(descriptor, buf.data(), buf.size(), 0) > 0) {
        received = true;
    }
    return received;
}

std::size_t send_repeatedly(int descriptor, const flood& content, std::size_t limit) {
    std::string block = content.repeated;
    while (block.size() < block_bytes) {
        block += content.repeated;
    }
    bool open = send_bytes(descriptor, content.begin);
    if (open && content.has_handshake) {
        open = wait_for_handshake(descriptor);
    }
    std::size_t sent = 0;
    while (open && sent < limit) {
        open = send_bytes(descriptor, block);
        sent += open ? block.size() : 0;
    }
    return sent;
}

} // namespace

client_connections::~client_connections() {
    for (const int it : m_descriptors) {
        ::close(it);
    }
}

void client_connections::open(const http::endpoint& server, int count, const std::string& bytes) {
    for (int n = 0; n < count; ++n) {
        const int descriptor = connect_to(server);
        if (descriptor >= 0) {
            m_descriptors.push_back(descriptor);
            send_bytes(descriptor, bytes);
        }
    }
}

std::size_t client_connections::send_flood(const http::endpoint& server, int count,
                                           const flood& content, std::size_t limit) {
    std::vector<std::thread> senders;
    std::atomic<std::size_t> sent = 0;
    for (int n = 0; n < count; ++n) {
        const int descriptor = connect_to(server);
        if (descriptor >= 0) {
            m_descriptors.push_back(descriptor);
            senders.emplace_back([descriptor, &content, limit, &sent] {
                sent += send_repeatedly(descriptor, content, limit);
            });
        }
    }
    for (auto& it : senders) {
        it.join();
    }
    return sent;
}

} // namespace jujubemast::tests
