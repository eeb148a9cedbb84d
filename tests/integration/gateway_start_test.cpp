#include <future>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

/// A third gateway that starts while the store does not respond.
struct gateway_start_fixture : gateway_fixture {
    std::unique_ptr<child_process> started;

    gateway_start_fixture() {
        set_store_silent(true);
        started = std::make_unique<child_process>(
            "jujubemast-gateway", std::vector<std::string>{"--settings", write_settings("g2")},
            directory + "/g2");
        addresses.push_back(started->listening_address("jujubemast-gateway/callers/listener"));
    }
};

BOOST_FIXTURE_TEST_SUITE(gateway_start_test, gateway_start_fixture)

// Guards against requests that are refused after all gateways were killed, although the store
// responds again within the time that their callers have.
BOOST_AUTO_TEST_CASE(request_that_arrives_before_the_first_configuration_is_served_after_it) {
    auto response =
        std::async(std::launch::async, [this] { return send("GET", "/read/1", "early", {}, 2); });
    set_store_silent(false);
    const auto received = response.get();
    BOOST_TEST(received.status == 200U, received.status << ' ' << received.body);
}

// Guards against a request that waits until its deadline at a gateway that has no configuration,
// and against a permanent refusal, because the route is perhaps configured.
BOOST_AUTO_TEST_CASE(request_without_a_configuration_is_refused_with_a_retry_delay) {
    const auto refused = call(
        addresses[2], {"GET", "/read/1", {{"Host", "a.example"}, {"X-Attempt-Id", "early"}}, {}});
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.body == "no configuration yet\n");
    BOOST_TEST(!http::find_header(refused.fields, "Retry-After").empty());
}

// Guards against a process that ends by a signal because a request without a route is in progress
// when it is stopped.
BOOST_AUTO_TEST_CASE(gateway_that_is_stopped_while_it_holds_a_request_refuses_it_and_exits) {
    boost::asio::io_context context;
    auto caller = open_connection(context,
                                  "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
                                  "X-Attempt-Id: held\r\nX-Deadline-Ms: 5000\r\n\r\n",
                                  2);
    const auto admin = started->listening_address("jujubemast-gateway/admin/listener");
    wait_until("the request has arrived", [&] {
        const auto metrics = call(admin, {"GET", "/metrics", {}, {}}).body;
        return metrics.find("jujubemast_gateway_requests_in_progress 1") != std::string::npos ||
               started->log().find("Request ended.") != std::string::npos;
    });
    started->send_signal(SIGTERM);
    BOOST_TEST(started->wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
