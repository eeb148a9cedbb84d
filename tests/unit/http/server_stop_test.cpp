#include <boost/test/unit_test.hpp>
#include <poll.h>

#include "http/connection.h"
#include "runtime/supervisor.h"
#include "support/child_process.h"
#include "unit/http/server_fixture.h"

namespace jujubemast::tests {

/// A connection under a supervisor on a loop that the test runs. Bytes that the client sends while
/// no handler runs have arrived but are not read.
struct connection_stop_fixture {
    event_loop loop;
    std::shared_ptr<http::server_state> server = std::make_shared<http::server_state>();
    int handled = 0;
    bool stopped = false;
    std::string response_body = "served";

    connection_stop_fixture() {
        server->stop_read_deadline = common::monotonic_clock::now() + std::chrono::seconds{10};
        m_lifecycle->instance = m_root;
        m_root->start();
    }
    connection_stop_fixture(const connection_stop_fixture&) = delete;
    connection_stop_fixture& operator=(const connection_stop_fixture&) = delete;
    ~connection_stop_fixture() {
        m_root->close();
        m_lifecycle->running = false;
        loop.run_ready();
    }

    void start_connection() {
        m_root->add_child({"connection",
                           [this](runtime::task_context context) {
                               return std::make_shared<http::connection>(
                                   std::move(context), std::move(m_socket), server,
                                   [this](const http::request&, const http::responder& reply) {
                                       ++handled;
                                       reply.respond({200, {}, response_body});
                                       return http::disconnect_hook{};
                                   });
                           },
                           runtime::restart_policy::temporary});
    }

    /// Starts the connection and has it serve one request, after which it is idle.
    void start_kept_connection() {
        start_connection();
        loop.run_ready();
        send(good_request);
        BOOST_TEST_REQUIRE(loop.run_until([this] { return handled == 1; }));
        loop.run_ready();
        client.read("served");
    }

    /// Sends bytes and waits until they have arrived at the server's socket.
    void send(const std::string& text) {
        client.send(text);
        pollfd arrived{m_descriptor, POLLIN, 0};
        BOOST_TEST_REQUIRE(::poll(&arrived, 1, 20000) == 1);
    }

    void stop() {
        m_root->stop([this] { stopped = true; });
    }

    /// Runs until the connection has stopped and returns what the client has received.
    std::string read_until_stopped() {
        BOOST_TEST(loop.run_until([this] { return stopped; }));
        return client.read();
    }

    static constexpr const char* good_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

private:
    tcp::acceptor m_acceptor{loop.executor().context(),
                             {boost::asio::ip::make_address("127.0.0.1"), 0}};

public:
    raw_client client{{"127.0.0.1", m_acceptor.local_endpoint().port()}};

private:
    tcp::socket m_socket{m_acceptor.accept()};
    int m_descriptor = m_socket.native_handle();
    std::shared_ptr<runtime::task_lifecycle> m_lifecycle = make_lifecycle("test");
    std::shared_ptr<runtime::supervisor> m_root = std::make_shared<runtime::supervisor>(
        loop.context(m_lifecycle),
        runtime::supervisor_options{.order = runtime::stop_order::together},
        std::vector<runtime::child_spec>{});
};

BOOST_FIXTURE_TEST_SUITE(connection_stop_test, connection_stop_fixture)

// The next four guard against a request that has arrived before the stop and gets no answer.

BOOST_AUTO_TEST_CASE(connection_with_unread_first_request_at_stop_answers_it) {
    start_connection();
    loop.run_ready();
    send(good_request);
    stop();
    const auto response = read_until_stopped();
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(kept_connection_with_unread_request_at_stop_answers_it) {
    start_kept_connection();
    send(good_request);
    stop();
    const auto response = read_until_stopped();
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(connection_whose_read_has_completed_but_is_not_handled_at_stop_answers) {
    send(good_request);
    start_connection();
    stop();
    BOOST_TEST(read_until_stopped().starts_with("HTTP/1.1 200"));
}

// Guards against requests that get no response at a planned stop, although they have been read:
// the response to the request before them closed the connection.
BOOST_AUTO_TEST_CASE(connection_with_pipelined_requests_at_stop_answers_all_that_were_read) {
    start_connection();
    loop.run_ready();
    send(std::string{good_request} + good_request + good_request);
    stop();
    const auto text = read_until_stopped();
    BOOST_TEST(handled == 3);
    std::size_t responses = 0;
    for (auto at = text.find("served"); at != std::string::npos; at = text.find("served", at + 1)) {
        ++responses;
    }
    BOOST_TEST(responses == 3U);
    // Only the last one announces that the connection closes.
    BOOST_TEST(text.find("Connection: close") != std::string::npos);
    BOOST_TEST(text.find("Connection: close") == text.rfind("Connection: close"));
    BOOST_TEST(text.find("Connection: close") > text.rfind("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(connection_that_has_announced_to_stay_open_answers_next_request_at_stop) {
    // Larger than the buffers of the sockets, so that the stop begins before the response is sent.
    response_body = std::string(std::size_t{16} * 1024 * 1024, 's') + "end";
    start_connection();
    loop.run_ready();
    send(good_request);
    BOOST_TEST_REQUIRE(loop.run_until([this] { return handled == 1; }));
    loop.run_ready();
    send(good_request);
    response_body = "next";
    stop();
    auto received = std::async(std::launch::async, [this] { return client.read(); });
    BOOST_TEST(loop.run_until([this] { return stopped; }));
    const auto responses = received.get();
    BOOST_TEST(responses.find("end") != std::string::npos);
    BOOST_TEST(responses.ends_with("next"));
}

// Guards against an incomplete request that holds up the stop for the whole read timeout, or is
// closed without an answer.
BOOST_AUTO_TEST_CASE(kept_connection_with_unread_part_of_request_at_stop_refuses_at_read_limit) {
    server->limits.read_timeout = std::chrono::minutes{1};
    server->stop_read_deadline = common::monotonic_clock::now() + std::chrono::milliseconds{300};
    start_kept_connection();
    send("GET / HT");
    stop();
    BOOST_TEST(read_until_stopped().starts_with("HTTP/1.1 408"));
}

// As above, after the read limit.
BOOST_AUTO_TEST_CASE(kept_connection_with_unread_request_after_read_limit_answers_it) {
    server->stop_read_deadline = common::monotonic_clock::now();
    start_kept_connection();
    send(good_request);
    stop();
    BOOST_TEST(read_until_stopped().starts_with("HTTP/1.1 "));
}

// Guards against idle connections that hold up a stop.
BOOST_AUTO_TEST_CASE(kept_connection_without_input_at_stop_closes_at_once) {
    start_kept_connection();
    stop();
    loop.run_ready();
    BOOST_TEST(stopped);
    BOOST_TEST(client.read().empty());
    BOOST_TEST(client.closed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(server_stop_test, server_fixture)

// Guards against a response that is lost because the client, which had asked to keep the connection
// open, sends its next request just after the stopping server has closed it.
BOOST_AUTO_TEST_CASE(server_that_closes_unasked_at_stop_does_not_reset_later_requests) {
    const auto server = start();
    raw_client client{server};
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    auto stopped = stop();
    answer_held();
    for (int n = 0; n < 3; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        BOOST_TEST(client.pending_error() == 0);
        client.send(good_request);
    }
    BOOST_TEST(client.read().find("held") != std::string::npos);
    client.close();
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
    BOOST_TEST(handled == 1);
}

// Guards against a client that keeps its side of the connection open and holds up the stop.
BOOST_AUTO_TEST_CASE(server_whose_client_does_not_close_ends_the_stop_in_bounded_time) {
    const auto server = start();
    raw_client client{server};
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    auto stopped = stop();
    answer_held();
    BOOST_TEST(client.read().find("held") != std::string::npos);
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
}

// Guards against tasks of the server that are closed at a limit other than that of the server.
BOOST_AUTO_TEST_CASE(server_with_stop_limit_closes_its_connections_at_this_limit) {
    options.stop_limit = std::chrono::milliseconds{300};
    outer_stop_timeout = std::chrono::hours{1};
    const auto server = start();
    raw_client client{server};
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    auto stopped = stop();
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
    BOOST_TEST(disconnects == 1);
}

// Guards against a listener that stops accepting before the end of its grace period or never ends.
BOOST_AUTO_TEST_CASE(server_whose_grace_exceeds_the_stop_limit_ends_the_grace_at_this_limit) {
    options.stop_limit = std::chrono::milliseconds{300};
    options.stop_grace = std::chrono::hours{1};
    outer_stop_timeout = std::chrono::hours{1};
    start();
    auto stopped = stop();
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
}

// Guards against a caller that has to know the limit twice.
BOOST_AUTO_TEST_CASE(server_with_stop_limit_passes_it_to_its_supervisor) {
    options.stop_limit = std::chrono::minutes{7};
    start();
    const auto spec = http::make_server("api", options, {});
    BOOST_TEST((spec.stop_timeout == options.stop_limit));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
