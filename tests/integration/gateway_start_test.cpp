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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
