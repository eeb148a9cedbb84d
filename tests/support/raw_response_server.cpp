#include "support/raw_response_server.h"

#include <array>
#include <list>
#include <mutex>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubemast::tests {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t read_bytes = 4096;
// A part that is repeated without a pause is sent in bursts of about this size.
constexpr std::size_t burst_bytes = std::size_t{64} * 1024;

/// Returns the Content-Length of a request head, or zero if it has none.
std::size_t body_length(const std::string& head) {
    constexpr std::string_view name = "Content-Length: ";
    const auto position = head.find(name);
    return position == std::string::npos ? 0 : std::stoul(head.substr(position + name.size()));
}

} // namespace

struct raw_response_server::implementation {
    explicit implementation(respond_hook hook) : respond{std::move(hook)} {}

    respond_hook respond;
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> requests = 0;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> open = 0;
    std::atomic<std::size_t> sent = 0;
    std::mutex mutex;
    std::list<tcp::socket> sockets;
    std::list<std::thread> threads;
    std::thread listener;

    void listen() {
        while (!stopping) {
            boost::system::error_code ec;
            tcp::socket accepted{context};
            acceptor.accept(accepted, ec);
            if (ec || stopping) {
                return;
            }
            ++connections;
            ++open;
            const std::lock_guard lock{mutex};
            auto& socket = sockets.emplace_back(std::move(accepted));
            threads.emplace_back([this, &socket] {
                while (serve(socket)) {
                }
                --open;
                ::shutdown(socket.native_handle(), SHUT_RDWR);
            });
        }
    }

    /// Reads one request and sends the response. Returns false if the connection is finished.
    bool serve(tcp::socket& connection) {
        const int socket = connection.native_handle();
        std::string request;
        std::size_t request_size = std::string::npos;
        while (request.size() < request_size) {
            std::array<char, read_bytes> buf{};
            const auto n = ::recv(socket, buf.data(), buf.size(), 0);
            if (n <= 0) {
                return false;
            }
            request.append(buf.data(), static_cast<std::size_t>(n));
            const auto head = request.find("\r\n\r\n");
            if (head != std::string::npos) {
                request_size = head + 4 + body_length(request);
            }
        }
        ++requests;
        const auto response = respond(request);
        if (!send(socket, response.begin)) {
            return false;
        }
        if (response.after == after_response::reset) {
            // Closing without waiting for unsent bytes resets the connection.
            const std::lock_guard lock{mutex};
            connection.set_option(tcp::socket::linger{true, 0});
            connection.close();
            return false;
        }
        if (response.repeated.empty()) {
            return response.after == after_response::keep;
        }
        std::string burst = response.repeated;
        while (response.pause.count() == 0 && burst.size() < burst_bytes) {
            burst += response.repeated;
        }
        while (!stopping && !closed_within(socket, response.pause) && send(socket, burst)) {
        }
        return false;
    }

    bool send(int socket, const std::string& bytes) {
        for (std::size_t done = 0; done < bytes.size();) {
            const auto n = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(n);
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Waits for the pause. Returns earlier, with true, if the client closes the connection.
    static bool closed_within(int socket, std::chrono::milliseconds pause) {
        pollfd waited{socket, POLLIN | POLLRDHUP, 0};
        return ::poll(&waited, 1, static_cast<int>(pause.count())) > 0;
    }
};

raw_response_server::raw_response_server(respond_hook respond)
    : m_implementation{std::make_unique<implementation>(std::move(respond))} {
    m_implementation->listener = std::thread{[this] { m_implementation->listen(); }};
}

raw_response_server::~raw_response_server() {
    auto& it = *m_implementation;
    it.stopping = true;
    ::shutdown(it.acceptor.native_handle(), SHUT_RDWR);
    it.listener.join();
    {
        const std::lock_guard lock{it.mutex};
        for (auto& socket : it.sockets) {
            ::shutdown(socket.native_handle(), SHUT_RDWR);
        }
    }
    for (auto& thread : it.threads) {
        thread.join();
    }
}

std::string raw_response_server::address() const {
    return m_implementation->address;
}

std::size_t raw_response_server::requests() const {
    return m_implementation->requests;
}

std::size_t raw_response_server::connections() const {
    return m_implementation->connections;
}

std::size_t raw_response_server::open_connections() const {
    return m_implementation->open;
}

std::size_t raw_response_server::bytes_sent() const {
    return m_implementation->sent;
}

} // namespace jujubemast::tests
