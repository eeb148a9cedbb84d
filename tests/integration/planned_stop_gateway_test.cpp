#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

/// Gateways that close the callers' connections 1.5 s after SIGTERM.
struct short_stop_fixture : gateway_fixture {
    short_stop_fixture() : gateway_fixture{{1, 1}, 1500} {}

    /// Sends a request of which `part` arrives now and `rest` after the delay. Returns all bytes
    /// received until the connection is closed.
    std::string send_in_parts(const std::string& part, const std::string& rest,
                              std::chrono::milliseconds delay) const {
        const auto target = http::parse_endpoint(addresses[0]);
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket{context};
        socket.connect({boost::asio::ip::make_address(target.host), target.port});
        boost::asio::write(socket, boost::asio::buffer(part));
        std::this_thread::sleep_for(delay);
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(rest), ec);
        std::string text;
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
        return text;
    }

    /// A request that may not be repeated, whose body of four bytes is incomplete.
    static std::string incomplete_post(const std::string& attempt) {
        return "POST /post/delayed HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt +
               "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
               "Content-Length: 4\r\n\r\nbo";
    }
};

BOOST_FIXTURE_TEST_SUITE(planned_stop_gateway_test, short_stop_fixture)

// Guards against connections that an ordered stop closes without a response to a request that was
// accepted before (hunt oonwala-kutch mix, seed 1006260159503, LOST).
BOOST_AUTO_TEST_CASE(request_that_runs_when_the_stop_limit_is_reached_ends_as_unknown) {
    auto response = std::async(std::launch::async, [&] {
        return send("POST", "/stream/mute", "l1", {{"X-Model", "m"}});
    });
    wait_until("the upstream has the request", [&] { return records("l1").size() == 1; });
    gateways[0]->send_signal(SIGTERM);
    BOOST_TEST(response.get().status == 504U);
}

BOOST_AUTO_TEST_CASE(request_that_waits_for_a_stage_at_the_stop_limit_is_refused) {
    auto response = std::async(std::launch::async, [&] {
        return send_raw("POST /slow/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: l2\r\n"
                        "X-Deadline-Ms: 5000\r\nX-Model: m\r\nX-Pieces: 1\r\n"
                        "X-Piece-Key: stuck\r\nAuthorization: Bearer key-1\r\n"
                        "Content-Length: 0\r\n\r\n");
    });
    wait_until("the call has begun", [&] { return piece_calls("l2") == 1; });
    gateways[0]->send_signal(SIGTERM);
    const auto text = response.get();
    BOOST_TEST(text.find("HTTP/1.1 503") == 0U);
    BOOST_TEST(text.find("Retry-After") != std::string::npos);
}

// Guards against a stream whose engine has sent its head but no event: the head counted as the
// begin of the response, so that only the close of the connection ended it.
BOOST_AUTO_TEST_CASE(stream_without_an_event_at_the_stop_limit_ends_as_unknown) {
    auto response = std::async(std::launch::async, [&] {
        return send("POST", "/talk/head-only", "h1", {{"X-Model", "m"}});
    });
    wait_until("the upstream has the request", [&] { return records("h1").size() == 1; });
    gateways[0]->send_signal(SIGTERM);
    BOOST_TEST(response.get().status == 504U);
}

// Guards against a stream that arrives in a stop, is passed on and is cut at the stop limit
// (issue 30, third report).
BOOST_AUTO_TEST_CASE(stream_that_cannot_end_before_the_stop_limit_is_refused_before_it_is_sent) {
    BOOST_TEST(send("POST", "/talk/paced", "w1", {{"X-Model", "m"}}).complete);
    gateways[0]->send_signal(SIGTERM);
    wait_until("not ready", [&] { return ready_status(0) == 503; });
    BOOST_TEST(send("POST", "/talk/paced", "t1", {{"X-Model", "m"}}).status == 503U);
    BOOST_TEST(records("t1").empty());
}

// Guards against a stop that refuses everything.
BOOST_AUTO_TEST_CASE(stream_that_can_end_before_the_stop_limit_is_served_in_a_stop) {
    BOOST_TEST(send("POST", "/stream/1", "w2", {{"X-Model", "m"}}).complete);
    gateways[0]->send_signal(SIGTERM);
    wait_until("not ready", [&] { return ready_status(0) == 503; });
    BOOST_TEST(send("POST", "/stream/1", "t2", {{"X-Model", "m"}}).body == all_events());
}

// Guards against a request whose body takes until late in the stop, and that is then run although
// its response cannot arrive in time.
BOOST_AUTO_TEST_CASE(post_that_is_complete_too_late_in_the_stop_is_refused_before_it_is_sent) {
    BOOST_TEST(send("POST", "/post/delayed", "w3").status == 200U);
    auto text = std::async(std::launch::async, [&] {
        return send_in_parts(incomplete_post("t3"), "dy", std::chrono::milliseconds{1100});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    gateways[0]->send_signal(SIGTERM);
    BOOST_TEST(text.get().find("HTTP/1.1 503") == 0U);
    BOOST_TEST(records("t3").empty());
}

// Guards against a connection that is closed without a response while a body is read.
BOOST_AUTO_TEST_CASE(post_that_is_incomplete_at_the_stop_limit_is_refused) {
    auto text = std::async(std::launch::async, [&] {
        return send_in_parts(incomplete_post("t4"), "", std::chrono::milliseconds{0});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    gateways[0]->send_signal(SIGTERM);
    BOOST_TEST(text.get().find("HTTP/1.1 408") == 0U);
    BOOST_TEST(records("t4").empty());
}

// Guards against a second signal that cuts the stop short.
BOOST_AUTO_TEST_CASE(request_that_runs_at_a_second_sigterm_is_answered) {
    auto response =
        std::async(std::launch::async, [&] { return send("POST", "/post/delayed", "t5"); });
    wait_until("the upstream has the request", [&] { return records("t5").size() == 1; });
    gateways[0]->send_signal(SIGTERM);
    gateways[0]->send_signal(SIGTERM);
    BOOST_TEST(response.get().status == 200U);
    BOOST_TEST(gateways[0]->wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
