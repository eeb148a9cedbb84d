#include "http/server.h"

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include "support/child_process.h"
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

/// Lets this process open no further file descriptors while it exists.
class descriptor_limit {
public:
    descriptor_limit() {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        auto limit = m_former;
        // Every new descriptor is at least as large as the lowest free one.
        const int lowest_free = ::dup(0);
        ::close(lowest_free);
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit m_former{};
};

struct server_fixture {
    http::server_options options;
    std::atomic<int> handled = 0;
    std::atomic<int> disconnects = 0;
    /// Number of 16 KiB chunks in the response to GET /stream.
    int chunk_count = 0;

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
        m_root = std::make_shared<runtime::supervisor>(
            runtime::task_context{m_executor, m_lifecycle}, runtime::supervisor_options{},
            std::vector<runtime::child_spec>{http::make_server(
                "api", options, [this](const http::request& message, const http::responder& reply) {
                    return handle(message, reply);
                })});
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
        ++handled;
        if (message.target == "/held") {
            m_held = reply;
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

BOOST_FIXTURE_TEST_SUITE(server_test, server_fixture)

// Guards against clients that get no clear response to an unreadable request, or lose the response
// because the server closes the connection while they are still sending.
BOOST_AUTO_TEST_CASE(server_when_request_is_malformed_or_oversized_answers_4xx_and_closes) {
    const auto server = start();
    const std::string large(std::size_t{1024} * 1024, 'x');
    const std::vector<std::pair<std::string, std::string>> cases{
        {"nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "HTTP/1.1 400"},
        {post("Content-Length: -1\r\n", ""), "HTTP/1.1 400"},
        {post("Content-Length: 1\r\nContent-Length: 2\r\n", "x"), "HTTP/1.1 400"},
        {post("Transfer-Encoding: chunked\r\n", "zz\r\n"), "HTTP/1.1 400"},
        {post("X: " + std::string(4096, 'x') + "\r\n", ""), "HTTP/1.1 431"},
        {post("Content-Length: 1048576\r\n", large), "HTTP/1.1 413"},
        {post("Content-Length: 99999999999\r\n", ""), "HTTP/1.1 413"},
        {post("Transfer-Encoding: chunked\r\n", "100000\r\n" + large), "HTTP/1.1 413"}};
    for (const auto& [text, status] : cases) {
        raw_client client{server};
        const auto response = client.send(text).read();
        BOOST_TEST(response.substr(0, status.size()) == status, text.substr(0, 60));
        BOOST_TEST(response.find("not_run") != std::string::npos);
        BOOST_TEST(client.closed());
    }
    BOOST_TEST(handled == 0);
}

// Guards against connections that are kept open by requests which never arrive completely.
BOOST_AUTO_TEST_CASE(server_when_request_arrives_too_slowly_answers_408_and_closes) {
    const auto server = start();
    for (const auto& text : {std::string{"POST / HT"}, post("Content-Length: 10\r\n", "x")}) {
        raw_client client{server};
        BOOST_TEST(client.send(text).read().starts_with("HTTP/1.1 408"));
        BOOST_TEST(client.closed());
    }
    raw_client silent{server};
    BOOST_TEST(silent.read().empty());
    BOOST_TEST(silent.closed());
}

// Guards against a slow second request being granted the longer timeout of idle connections.
BOOST_AUTO_TEST_CASE(server_when_second_request_is_slow_answers_408) {
    const auto server = start();
    raw_client client{server};
    BOOST_TEST(client.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
    const auto begin = common::monotonic_clock::now();
    BOOST_TEST(client.send("GET /").read().starts_with("HTTP/1.1 408"));
    BOOST_TEST((common::monotonic_clock::now() - begin < options.limits.idle_timeout));
}

BOOST_AUTO_TEST_CASE(server_when_requests_are_pipelined_answers_each) {
    const auto server = start();
    raw_client client{server};
    std::string text;
    for (const int size : {1, 2, 3}) {
        text += post("Content-Length: " + std::to_string(size) + "\r\n", std::string(size, 'x'));
    }
    const auto responses = client.send(text).read("ok 3");
    BOOST_TEST(responses.find("ok 1") < responses.find("ok 2"));
    BOOST_TEST(responses.find("ok 2") < responses.find("ok 3"));
}

// Guards against a response that is lost because the connection is closed with bytes of the next
// request unread, which resets it.
BOOST_AUTO_TEST_CASE(server_when_closing_before_a_pipelined_request_does_not_reset_the_connection) {
    const auto server = start();
    raw_client client{server};
    client.send("GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    client.send(good_request);
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    answer_held();
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    BOOST_TEST(client.pending_error() == 0);
    BOOST_TEST(client.read().find("held") != std::string::npos);
}

// Guards against a client that does not read its response and so occupies the server's memory.
BOOST_AUTO_TEST_CASE(server_when_streamed_response_exceeds_the_buffer_closes_the_connection) {
    chunk_count = 2000;
    options.limits.write_timeout = std::chrono::hours{1};
    const auto server = start();
    raw_client client{server};
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the connection is closed", [&] { return disconnects == 1; });
}

// Guards against a client that stops reading and keeps its request open indefinitely.
BOOST_AUTO_TEST_CASE(server_when_streamed_response_is_not_read_in_time_closes_the_connection) {
    chunk_count = 2000;
    options.limits.max_buffered_bytes = std::size_t{1024} * 1024 * 1024;
    const auto server = start();
    raw_client client{server};
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the connection is closed", [&] { return disconnects == 1; });
}

// Guards against connections beyond the limit that hang or are closed without a response.
BOOST_AUTO_TEST_CASE(server_when_connections_exceed_the_limit_answers_503_and_recovers) {
    options.limits.max_connections = 2;
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client first{server};
    raw_client second{server};
    first.send(good_request).read("ok 0");
    second.send(good_request).read("ok 0");
    for (int n = 0; n < 3; ++n) {
        raw_client excess{server};
        BOOST_TEST(excess.send(good_request).read().starts_with("HTTP/1.1 503"));
        BOOST_TEST(excess.closed());
    }
    BOOST_TEST(first.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
    second.close();
    wait_until("a connection slot is free", [&] {
        raw_client next{server};
        return next.send(good_request).read("0").starts_with("HTTP/1.1 200");
    });
}

// Guards against a flood of connections that uses more resources than the two limits allow.
BOOST_AUTO_TEST_CASE(server_when_flooded_with_connections_refuses_a_bounded_number_with_503) {
    options.limits.max_connections = 1;
    options.limits.max_refusals = 4;
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client served{server};
    served.send(good_request).read("ok 0");
    std::vector<std::unique_ptr<raw_client>> flood(100);
    for (auto& it : flood) {
        it = std::make_unique<raw_client>(server);
    }
    for (auto& it : flood) {
        const auto response = it->read();
        BOOST_TEST((response.empty() || response.starts_with("HTTP/1.1 503")));
        BOOST_TEST(it->closed());
    }
    BOOST_TEST(served.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
}

// Guards against a stop that never ends: the retry of a failed accept replaced the end of the grace
// period.
BOOST_AUTO_TEST_CASE(server_whose_accept_fails_in_the_grace_of_a_stop_ends_the_stop) {
    options.stop_grace = std::chrono::milliseconds{300};
    const auto address = start();
    tcp::socket client{client_context, tcp::v4()};
    const descriptor_limit limit;
    auto stopped = stop();
    client.connect({boost::asio::ip::make_address(address.host), address.port});
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
