#include "gateway/store/hedged_call.h"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/loop_server.h"

namespace jujubemast::tests {

using gateway::store::hedged_call;
using std::chrono::milliseconds;

/// A hedged call to a server whose responses the test cases give.
struct hedged_call_fixture {
    static constexpr milliseconds interval{100};
    /// Long enough for several attempts on a busy machine.
    static constexpr milliseconds timeout{2000};

    event_loop loop;
    /// The attempts that the server has received.
    std::vector<http::responder> received;
    std::vector<http::call_result> results;
    common::time_point answered_sent;
    std::shared_ptr<runtime::task_lifecycle> client_life = make_lifecycle("client");
    std::unique_ptr<loop_server> server;
    std::unique_ptr<http::client> client;
    std::unique_ptr<hedged_call> call;

    hedged_call_fixture() {
        server = std::make_unique<loop_server>(
            loop, [this](const http::request&, const http::responder& reply) {
                received.push_back(reply);
                return http::disconnect_hook{};
            });
        client = std::make_unique<http::client>(loop.context(client_life), server->address());
        call = std::make_unique<hedged_call>(loop.context(client_life), *client);
    }
    hedged_call_fixture(const hedged_call_fixture&) = delete;
    hedged_call_fixture& operator=(const hedged_call_fixture&) = delete;

    ~hedged_call_fixture() {
        call.reset();
        client->close();
        client_life->running = false;
        server->close();
        loop.run_ready();
    }

    void start(std::optional<common::duration> resend, milliseconds head_timeout = timeout) {
        http::call_options options;
        options.head_timeout = head_timeout;
        call->start({"GET", "/", {}, {}}, options, resend,
                    [this](const http::call_result& result, common::time_point sent) {
                        results.push_back(result);
                        answered_sent = sent;
                    });
    }

    void wait_for_attempts(std::size_t n) {
        BOOST_REQUIRE(loop.run_until([&] { return received.size() >= n; }));
    }

    void wait_for_result() {
        BOOST_REQUIRE(loop.run_until([&] { return !results.empty(); }));
    }

    void run_for(common::duration time) {
        const auto end = common::monotonic_clock::now() + time;
        BOOST_REQUIRE(loop.run_until([&] { return common::monotonic_clock::now() >= end; }));
    }

    [[nodiscard]] std::string body() const {
        return std::get<http::response>(results.front()).body;
    }
};

BOOST_FIXTURE_TEST_SUITE(hedged_call_test, hedged_call_fixture)

// Guards against a server that responds again and is not seen to, because the call waits for the
// response to an attempt that the server has lost.
BOOST_AUTO_TEST_CASE(call_whose_first_attempt_is_lost_gets_the_response_to_a_later_one) {
    start(interval);
    wait_for_attempts(2);
    const auto second = common::monotonic_clock::now();
    received[1].respond({200, {}, "second"});
    wait_for_result();
    BOOST_TEST(body() == "second");
    BOOST_TEST((answered_sent <= second));
    run_for(2 * interval);
    BOOST_TEST(received.size() == 2U);
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(client->calls_in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(call_whose_first_attempt_is_answered_late_gets_that_response) {
    start(interval);
    const auto begin = common::monotonic_clock::now();
    wait_for_attempts(2);
    received[0].respond({200, {}, "first"});
    wait_for_result();
    BOOST_TEST(body() == "first");
    BOOST_TEST((answered_sent < begin + interval));
}

// Guards against a large response that several attempts transfer at once over a slow link.
BOOST_AUTO_TEST_CASE(call_whose_response_has_begun_is_not_sent_again) {
    start(interval);
    wait_for_attempts(1);
    received[0].begin({200, {}, {}});
    received[0].write("a");
    run_for(3 * interval);
    BOOST_TEST(received.size() == 1U);
    received[0].write("b");
    received[0].end();
    wait_for_result();
    BOOST_TEST(body() == "ab");
}

BOOST_AUTO_TEST_CASE(call_without_an_interval_is_sent_once) {
    start(std::nullopt);
    run_for(3 * interval);
    BOOST_TEST(received.size() == 1U);
}

// Guards against a server that is never found to be away, because an attempt is always in progress.
BOOST_AUTO_TEST_CASE(call_that_gets_no_response_fails_with_its_first_attempt) {
    start(interval, 3 * interval);
    wait_for_result();
    BOOST_TEST(
        (std::get<http::call_error>(results.front()).kind == http::call_error_kind::timeout));
    BOOST_TEST(client->calls_in_progress() == 0U);
    const auto attempts = received.size();
    BOOST_TEST(attempts > 1U);
    run_for(2 * interval);
    BOOST_TEST(received.size() == attempts);
}

BOOST_AUTO_TEST_CASE(call_that_another_one_replaces_does_not_end) {
    start(interval);
    wait_for_attempts(2);
    start(interval);
    wait_for_attempts(3);
    received[2].respond({200, {}, "of the second call"});
    wait_for_result();
    run_for(2 * interval);
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(body() == "of the second call");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
