#pragma once

#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

using boost::asio::ip::tcp;

/// A client that sends arbitrary bytes. Reads time out after 20 s.
class raw_client {
public:
    explicit raw_client(const http::endpoint& server) {
        m_socket.connect({boost::asio::ip::make_address(server.host), server.port});
        const timeval limit{20, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    raw_client& send(const std::string& text) {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(text), ec);
        return *this;
    }

    /// Reads until the server closes the connection, or until `end` has arrived.
    std::string read(const std::string& end = "\x01") {
        std::string text;
        std::array<char, 4096> buf{};
        while (text.find(end) == std::string::npos) {
            const auto n = ::recv(m_socket.native_handle(), buf.data(), buf.size(), 0);
            if (n <= 0) {
                m_closed = n == 0 || errno == ECONNRESET;
                break;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

    /// Reads until the server closes the connection, with a pause after this many bytes. Returns
    /// the number of bytes.
    std::size_t read_slowly(std::size_t bytes, std::chrono::milliseconds pause) {
        std::string buf(bytes, '\0');
        std::size_t total = 0;
        for (;;) {
            const auto n = ::recv(m_socket.native_handle(), buf.data(), buf.size(), MSG_WAITALL);
            if (n <= 0) {
                return total;
            }
            total += static_cast<std::size_t>(n);
            std::this_thread::sleep_for(pause);
        }
    }

    /// Whether the last read ended because the server closed the connection.
    [[nodiscard]] bool closed() const { return m_closed; }
    void close() { m_socket.close(); }

    /// The error that the connection has met, for example a reset by the server.
    [[nodiscard]] int pending_error() {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return error;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket{m_context};
    bool m_closed = false;
};

/// A server on a loop of its own, with limits short enough for tests.
struct server_fixture {
    http::server_options options;
    std::atomic<int> handled = 0;
    std::atomic<int> disconnects = 0;
    /// Fields of the last request.
    http::headers last_fields;
    /// Number of 16 KiB chunks in the response to GET /stream.
    int chunk_count = 0;
    /// Size of the response to GET /large.
    std::size_t large_response_bytes = 0;
    /// Replaces the stop limit of the whole server, but not the limits of its tasks.
    std::optional<common::duration> outer_stop_timeout;

    server_fixture() {
        options.listen = {"127.0.0.1", 0};
        options.limits.max_header_bytes = 2048;
        options.limits.max_body_bytes = 4096;
        options.limits.read_timeout = std::chrono::milliseconds{200};
        options.limits.write_timeout = std::chrono::milliseconds{300};
        options.limits.idle_timeout = std::chrono::seconds{10};
        options.limits.max_buffered_bytes = std::size_t{256} * 1024;
    }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    ~server_fixture() {
        boost::asio::post(m_context, [this] {
            m_root->close();
            m_context.stop();
        });
        m_thread.join();
    }

    http::endpoint start() {
        std::promise<http::endpoint> bound;
        options.on_listening = [&bound](const http::endpoint& it) { bound.set_value(it); };
        m_lifecycle->on_failure = [](const std::exception_ptr& reason) {
            std::rethrow_exception(reason);
        };
        auto server = http::make_server(
            "api", options, [this](const http::request& message, const http::responder& reply) {
                return handle(message, reply);
            });
        if (outer_stop_timeout) {
            server.stop_timeout = *outer_stop_timeout;
        }
        m_root = std::make_shared<runtime::supervisor>(
            runtime::task_context{m_executor, m_lifecycle}, runtime::supervisor_options{},
            std::vector<runtime::child_spec>{std::move(server)});
        m_lifecycle->instance = m_root;
        m_thread = std::thread{[this] {
            m_root->start();
            m_context.run();
        }};
        return bound.get_future().get();
    }

    /// Begins an ordered stop. Returns a future that is ready when the stop is complete.
    std::future<void> stop() {
        auto stopped = std::make_shared<std::promise<void>>();
        boost::asio::post(m_context,
                          [this, stopped] { m_root->stop([stopped] { stopped->set_value(); }); });
        return stopped->get_future();
    }

    http::disconnect_hook handle(const http::request& message, const http::responder& reply) {
        last_fields = message.fields;
        ++handled;
        if (message.target == "/held") {
            m_held = reply;
        } else if (message.target == "/large") {
            reply.respond({200, {}, std::string(large_response_bytes, 'l')});
        } else if (message.target == "/stream") {
            reply.begin({200, {}, {}});
            for (int n = 0; n < chunk_count; ++n) {
                reply.write(std::string(16384, 's'));
            }
        } else {
            reply.respond({200, {}, "ok " + std::to_string(message.body.size())});
        }
        return [this] { ++disconnects; };
    }

    /// Returns the number of bytes that all connections buffer for their clients, after the
    /// commands that are queued now.
    std::size_t buffered_output() {
        std::promise<std::size_t> bytes;
        boost::asio::post(m_context, [&] {
            boost::asio::post(m_context, [&] {
                const auto dump = m_root->dump();
                const auto& bytes_buffered =
                    dump.at_pointer("/children/api/detail/children/listener/detail/buffered_bytes");
                bytes.set_value(bytes_buffered.to_number<std::size_t>());
            });
        });
        return bytes.get_future().get();
    }

    /// Responds to the last request for /held.
    void answer_held() {
        boost::asio::post(m_context, [this] { m_held.respond({200, {}, "held"}); });
    }

    static std::string post(const std::string& fields, const std::string& body) {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
    }

    boost::asio::io_context client_context;

    static constexpr const char* good_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_context.get_executor()};
    runtime::executor m_executor{m_context};
    std::shared_ptr<runtime::task_lifecycle> m_lifecycle = make_lifecycle("test");
    std::shared_ptr<runtime::supervisor> m_root;
    std::thread m_thread;
    http::responder m_held;
};

} // namespace jujubemast::tests
