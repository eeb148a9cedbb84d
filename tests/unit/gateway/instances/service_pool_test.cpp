#include "gateway/instances/service_pool.h"

#include <boost/test/unit_test.hpp>

#include "support/event_loop.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pool of two instances. Nothing listens at their addresses.
struct service_pool_fixture {
    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("pool");
    common::time_point now{seconds{100}};
    upstream_map known{{"a", entry("a")}, {"b", entry("b")}};
    service_pool subject{loop.context(life), policy::make_round_robin()};

    service_pool_fixture() { subject.update("s", known, now); }

    static upstream_instance entry(const std::string& id, std::int64_t started_ms = 1) {
        return {.id = id,
                .started_ms = started_ms,
                .service = "s",
                .address = {"127.0.0.1", 1},
                .slots = 4};
    }

    instance_choice choose(std::vector<std::string> excluded = {}) {
        return subject.choose({.excluded = std::move(excluded), .now = now});
    }

    /// Returns the chosen member after the other one was excluded.
    std::shared_ptr<pool_member> member(const std::string& id) {
        return choose({id == "a" ? "b" : "a"}).member;
    }

    static void start_call(pool_member& target) {
        target.client->start({"GET", "/", {}, {}}, {}, {.idempotent = false});
    }
};

BOOST_FIXTURE_TEST_SUITE(service_pool_test, service_pool_fixture)

// Guards against connections beyond the limit of an instance, which resets them: a request that
// must not run twice then ends with an unknown outcome.
BOOST_AUTO_TEST_CASE(instance_whose_connections_are_in_use_gets_no_request) {
    subject.set_connection_limit(3, {0, 1});
    for (int n = 0; n < 4; ++n) {
        const auto choice = choose();
        BOOST_REQUIRE((choice.outcome == choice_outcome::chosen));
        start_call(*choice.member);
    }
    BOOST_TEST((choose().outcome == choice_outcome::no_connection));
}

BOOST_AUTO_TEST_CASE(limit_below_the_number_of_gateways_leaves_this_one_some_instances) {
    subject.set_connection_limit(1, {0, 2});
    const auto choice = choose();
    BOOST_REQUIRE((choice.outcome == choice_outcome::chosen));
    start_call(*choice.member);
    BOOST_TEST((choose().outcome == choice_outcome::no_connection));
}

// Guards against a limit of an older version of the configuration that stays in force.
BOOST_AUTO_TEST_CASE(limit_that_is_removed_no_longer_applies) {
    subject.set_connection_limit(1, {0, 2});
    start_call(*choose().member);
    BOOST_REQUIRE((choose().outcome == choice_outcome::no_connection));
    subject.set_connection_limit({}, {0, 2});
    BOOST_TEST((choose().outcome == choice_outcome::chosen));
}

BOOST_AUTO_TEST_CASE(pausing_instance_gets_no_request_until_its_pause_ends) {
    member("a")->state.request_pause(now + milliseconds{700});
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(choose().member->identity.id == "b");
    }
    member("b")->state.request_pause(now + milliseconds{300});
    const auto choice = choose();
    BOOST_TEST((choice.outcome == choice_outcome::pausing));
    BOOST_TEST((choice.retry_at == now + milliseconds{300}));
    now += milliseconds{300};
    BOOST_TEST(choose().member->identity.id == "b");
}

// Guards against a response of the former incarnation that takes the new one out of use.
BOOST_AUTO_TEST_CASE(late_announcement_of_a_former_incarnation_does_not_touch_the_new_one) {
    const auto former = member("a");
    known["a"] = entry("a", 2);
    subject.update("s", known, now);
    former->state.announce_drain();
    former->state.request_pause(now + seconds{10});
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
    BOOST_TEST(choose({"b"}).member->identity.started_ms == 2);
}

// Guards against a pause that ends early because the entry was missing for a moment.
BOOST_AUTO_TEST_CASE(pause_of_an_instance_whose_entry_comes_back_still_holds) {
    member("a")->state.request_pause(now + seconds{10});
    const auto entry_of_a = known.extract("a");
    subject.update("s", known, now);
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::none));
    known["a"] = entry_of_a.mapped();
    subject.update("s", known, now + seconds{1});
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::pausing));
}

// Guards against engines that read large results from another failure domain.
BOOST_AUTO_TEST_CASE(request_with_stored_inputs_goes_to_an_instance_in_their_domain) {
    known["a"].failure_domain = "fd-1";
    known["b"].failure_domain = "fd-2";
    service_pool placed{loop.context(life), policy::make_load_aware({}, common::seeded_random(1)),
                        policy::make_placement_by_cost({})};
    placed.update("s", known, now);
    for (const auto* domain : {"fd-1", "fd-2"}) {
        policy::routing_request request{.prefix = 1, .now = now, .inputs = {{domain, 1e6}}};
        const auto choice = placed.choose(request);
        BOOST_REQUIRE((choice.outcome == choice_outcome::chosen));
        BOOST_TEST(choice.member->identity.failure_domain == domain);
        BOOST_TEST(placed.has_prefix(*choice.member, 1, now));
    }
}

// Guards against a retry at the only instances that have failed it.
BOOST_AUTO_TEST_CASE(request_without_prompt_stays_in_the_domain_until_it_is_retried) {
    known["a"].failure_domain = "fd-1";
    known["b"].failure_domain = "fd-2";
    service_pool placed{loop.context(life), policy::make_round_robin(),
                        policy::make_placement_by_cost({}), policy::make_gradual_overflow({})};
    placed.set_gateways("fd-1", {{"fd-1", 1}, {"fd-2", 1}});
    placed.update("s", known, now);
    policy::routing_request request{.failure_domain = "fd-1", .now = now};
    for (int n = 0; n < 10; ++n) {
        BOOST_TEST(placed.choose(request).member->identity.id == "a");
    }
    request.excluded = {"a"};
    BOOST_TEST(placed.choose(request).member->identity.id == "b");
}

BOOST_AUTO_TEST_CASE(draining_instance_gets_no_request) {
    known["a"].phase = upstream_phase::draining;
    subject.update("s", known, now);
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::none));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
