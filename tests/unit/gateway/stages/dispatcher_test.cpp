#include "gateway/stages/dispatcher.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "gateway/ownership.h"
#include "support/raw_response_server.h"
#include "unit/gateway/stages/dispatcher_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(dispatcher_test, dispatcher_fixture)

BOOST_AUTO_TEST_CASE(order_is_made_after_the_instance_has_reported) {
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST((make_piece(2) == order_status::made));
    BOOST_TEST((requested_paths == std::vector<std::string>{"/report", "/make", "/make"}));
}

// Guards against instances that are never used: an order that arrived before the configuration of
// its service left them waiting for a report that was never requested.
BOOST_AUTO_TEST_CASE(order_before_its_service_is_configured_does_not_block_later_ones) {
    inbox->post(discovery_update{nullptr, update.upstreams});
    BOOST_TEST((make_piece(1) == order_status::overloaded));
    inbox->post(update);
    BOOST_TEST((make_piece(2) == order_status::made));
}

// Guards against making an order twice because its outcome was lost.
BOOST_AUTO_TEST_CASE(repeated_order_is_answered_without_another_call) {
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST(count_requests("/make") == 1U);
}

// Guards against MIXED of review 12: the outcome of a cancelled order stays "made" without its
// handles, and the next stage is made without inputs.
BOOST_AUTO_TEST_CASE(order_that_was_made_and_cancelled_is_made_again_when_it_is_placed_again) {
    hold_results();
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    inbox->post(cancel_order{"stages", {"", 1}});
    BOOST_REQUIRE(loop.run_until([&] { return count_requests("/release") == 1; }));
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST(outcomes.back().handles.size() == 1U);
    BOOST_TEST(count_requests("/make") == 2U);
}

// Guards against an outcome that ends the order at the gateway to which it was given meanwhile.
BOOST_AUTO_TEST_CASE(order_that_is_cancelled_while_it_is_made_has_no_outcome) {
    hold_results();
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    keeps_calls = true;
    piece_order order;
    order.key.number = 2;
    order.service = "stages";
    order.count = 1;
    order.deadline = order.target_time = common::monotonic_clock::now() + std::chrono::seconds{2};
    inbox->post(order);
    BOOST_REQUIRE(loop.run_until([&] { return kept_calls.size() == 1; }));
    inbox->post(cancel_order{"stages", {"", 2}});
    kept_calls.front().respond({200, {}, ""});
    // The late result is released.
    BOOST_REQUIRE(loop.run_until([&] { return count_requests("/release") == 1; }));
    BOOST_TEST(outcomes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(owner_requests_reports_again_only_after_another_owned_the_service) {
    inbox->post(update);
    make_piece(1);
    inbox->post(owners_changed{{"self", "other"}, "self"});
    const bool owned = choose_owner("stages", {"self", "other"}) == "self";
    make_piece(2);
    BOOST_TEST(count_requests("/report") == (owned ? 1U : 2U));
    inbox->post(owners_changed{{"other"}, "self"});
    make_piece(3);
    BOOST_TEST(count_requests("/report") == (owned ? 2U : 3U));
}

// Guards against instances that are never used again: the last report after a change of owners
// still showed a call of the former owner, which went on with its own requests and was lost then.
BOOST_AUTO_TEST_CASE(instance_is_used_again_after_its_last_report_showed_foreign_calls) {
    auto all = *update.configuration;
    // Bounds the time in which reports are requested.
    all.services["stages"].pieces->result_lifetime = milliseconds{100};
    update.configuration = std::make_shared<const configuration>(all);
    reported.calls = 1;
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST(count_requests("/report") <= 3U);
}

// Guards against the same if the instance accepted no calls when its report was due.
BOOST_AUTO_TEST_CASE(instance_with_foreign_calls_is_used_again_after_its_pause) {
    reported.calls = 1;
    pause = milliseconds{600};
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
}

// Guards against a stage instance that crashes because it gets more calls than it tolerates while
// it is cold.
BOOST_AUTO_TEST_CASE(cold_instance_whose_calls_are_used_gets_the_next_one_after_the_window) {
    auto all = *update.configuration;
    // Permits two calls in a window.
    all.services["stages"].warm_up = warm_up_limit{std::chrono::seconds{30}, 0};
    update.configuration = std::make_shared<const configuration>(all);
    auto known = *update.upstreams;
    known.at("i").warms_up_from = common::monotonic_clock::now();
    update.upstreams = std::make_shared<const upstream_map>(known);
    inbox->post(update);
    const auto begin = common::monotonic_clock::now();
    BOOST_TEST((make_piece(1) == order_status::made));
    BOOST_TEST((make_piece(2) == order_status::made));
    BOOST_TEST((make_piece(3) == order_status::made));
    BOOST_TEST((common::monotonic_clock::now() - begin >= instances::send_window::length));
    BOOST_TEST(count_requests("/make") == 3U);
}

BOOST_AUTO_TEST_CASE(instance_that_is_no_longer_cold_gets_any_number_of_calls) {
    auto all = *update.configuration;
    all.services["stages"].warm_up = warm_up_limit{std::chrono::seconds{30}, 0};
    update.configuration = std::make_shared<const configuration>(all);
    inbox->post(update);
    for (std::uint64_t n = 1; n <= 8; ++n) {
        BOOST_TEST((make_piece(n) == order_status::made));
    }
}

/// A dispatcher whose only instance may be in a drained failure domain.
struct drained_instance_fixture : dispatcher_fixture {
    void set_drained(bool drained) {
        auto known = *update.upstreams;
        known["i"].domain_drained = drained;
        update.upstreams = std::make_shared<const upstream_map>(known);
        inbox->post(update);
        loop.run_ready();
    }
};

// Guards against pieces at an instance in a drained failure domain, and against orders that
// wait for it.
BOOST_FIXTURE_TEST_CASE(instance_in_a_drained_domain_gets_no_call, drained_instance_fixture) {
    set_drained(true);
    BOOST_TEST((make_piece(1) == order_status::overloaded));
    BOOST_TEST(requested_paths.empty());
    set_drained(false);
    BOOST_TEST((make_piece(2) == order_status::made));
}

// Guards against pieces that are made in a region that the operator has excluded.
BOOST_FIXTURE_TEST_CASE(order_with_allowed_regions_is_made_only_there, drained_instance_fixture) {
    auto known = *update.upstreams;
    known["i"].region = "r1";
    update.upstreams = std::make_shared<const upstream_map>(known);
    inbox->post(update);
    BOOST_TEST((make_piece(1, allowed_regions{{"r1"}}) == order_status::made));
    BOOST_TEST((make_piece(2, allowed_regions{{"r2"}}) == order_status::overloaded));
    BOOST_TEST(count_requests("/make") == 1U);
}

// Guards against results in a drained failure domain that use memory until they expire.
BOOST_FIXTURE_TEST_CASE(result_in_a_drained_domain_is_released, drained_instance_fixture) {
    inbox->post(update);
    BOOST_TEST((make_piece(1) == order_status::made));
    set_drained(true);
    const auto address = http::to_string(update.upstreams->at("i").address);
    inbox->post(release_results{"stages", {address + "/handle"}});
    BOOST_TEST(loop.run_until([&] { return count_requests("/release") == 1; }));
}

// Guards against orders that wait until their deadline for instances that take no work any
// more.
BOOST_FIXTURE_TEST_CASE(waiting_order_is_refused_once_all_instances_are_drained,
                        drained_instance_fixture) {
    pause = milliseconds{1000};
    inbox->post(update);
    piece_order order;
    order.key.number = 1;
    order.service = "stages";
    order.count = 1;
    order.deadline = order.target_time = common::monotonic_clock::now() + std::chrono::seconds{20};
    inbox->post(order);
    // The response to the request for a report asks for the pause.
    BOOST_REQUIRE(loop.run_until([&] { return !pause; }));
    loop.run_ready();
    BOOST_REQUIRE(outcomes.empty());
    set_drained(true);
    BOOST_REQUIRE(loop.run_until([&] { return !outcomes.empty(); }));
    BOOST_TEST((outcomes.back().status == order_status::overloaded));
    BOOST_TEST(count_requests("/make") == 0U);
}

/// A dispatcher with an instance that sends endless responses.
struct endless_instance_fixture : dispatcher_fixture {
    std::map<std::string, raw_response> endless;
    std::unique_ptr<raw_response_server> instance;

    /// Endless responses by path. Other paths get a valid response.
    void start_instance(std::map<std::string, raw_response> answers) {
        endless = std::move(answers);
        instance = std::make_unique<raw_response_server>([this](const std::string& request) {
            const auto begin = request.find(' ') + 1;
            const auto path = request.substr(begin, request.find(' ', begin) - begin);
            const auto it = endless.find(path);
            return it != endless.end()
                       ? it->second
                       : raw_response{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", {}};
        });
        upstream_map known;
        known["i"] = {
            .id = "i", .service = "stages", .address = http::parse_endpoint(instance->address())};
        update.upstreams = std::make_shared<const upstream_map>(known);
        inbox->post(update);
    }

    static raw_response endless_body(const char* status, milliseconds pause) {
        return {std::string{"HTTP/1.1 "} + status + "\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1\r\nx\r\n", pause};
    }
};

// Guards against an instance that is never used because its report never ends: a body that
// arrives slowly stays within every idle timeout.
BOOST_FIXTURE_TEST_CASE(instance_whose_report_is_endless_is_still_used, endless_instance_fixture) {
    for (const auto pause : {milliseconds{20}, milliseconds{0}}) {
        start_instance({{"/report", endless_body("200 OK", pause)}});
        BOOST_TEST((make_piece(pause.count() + 1) == order_status::made));
        BOOST_TEST(loop.run_until([&] { return instance->open_connections() <= 1; }));
        BOOST_TEST(instance->bytes_sent() < std::size_t{12} * 1024 * 1024);
    }
}

// Guards against connections and memory held by endless responses to stage calls.
BOOST_FIXTURE_TEST_CASE(call_whose_response_is_endless_fails_and_its_connection_is_closed,
                        endless_instance_fixture) {
    for (const char* status : {"200 OK", "500 Error"}) {
        for (const auto pause : {milliseconds{20}, milliseconds{0}}) {
            start_instance({{"/make", endless_body(status, pause)}});
            BOOST_TEST((make_piece(pause.count() + 1) != order_status::made));
            BOOST_TEST(loop.run_until([&] { return instance->open_connections() <= 1; }));
            BOOST_TEST(instance->bytes_sent() < std::size_t{48} * 1024 * 1024);
        }
    }
}

// Guards against release calls that never end: each one held a connection forever.
BOOST_FIXTURE_TEST_CASE(release_whose_response_is_endless_ends_and_its_connection_is_closed,
                        endless_instance_fixture) {
    start_instance({{"/release", endless_body("200 OK", milliseconds{20})}});
    BOOST_TEST((make_piece(1) == order_status::made));
    inbox->post(release_results{"stages", {instance->address() + "/handle"}});
    const auto before = instance->requests();
    BOOST_REQUIRE(loop.run_until([&] { return instance->requests() > before; }));
    // The call has reused the connection of the earlier calls.
    BOOST_TEST(loop.run_until([&] { return instance->open_connections() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
