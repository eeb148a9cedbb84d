#include "gateway/instances/service_pool.h"

#include <algorithm>

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
    static constexpr seconds warm_up_time{3};
    /// Permits of this gateway at each cold instance.
    std::size_t permits = 0;
    std::vector<std::string> changes;
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

    void apply_rule() {
        subject.set_warm_up(
            warm_up_rule{warm_up_time,
                         [this](std::uint64_t /*instance_digest*/, common::time_point /*now*/) {
                             return warm_up_permits{permits, {}};
                         },
                         [this](const pool_member& it, common::time_point /*now*/) {
                             changes.push_back(it.identity.id +
                                               (it.cold_until ? " cold" : " warm"));
                         }},
            now);
    }

    void make_cold(const std::string& id, common::duration time) {
        apply_rule();
        known[id].cold_until = now + time;
        subject.update("s", known, now);
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

// Guards against a burst at an instance that has just started, which crashes it.
BOOST_AUTO_TEST_CASE(cold_instance_whose_permits_are_used_gets_no_request_in_the_window) {
    make_cold("a", seconds{3});
    permits = 2;
    for (int n = 0; n < 2; ++n) {
        BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
    }
    const auto refused = choose({"b"});
    BOOST_TEST((refused.outcome == choice_outcome::cold));
    BOOST_TEST((refused.retry_at == now + send_window::length));
    now += send_window::length;
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
}

BOOST_AUTO_TEST_CASE(request_when_a_cold_instance_has_no_permit_goes_to_a_warm_one) {
    make_cold("a", seconds{3});
    permits = 0;
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(choose().member->identity.id == "b");
    }
}

// Guards against requests that wait for a permit that this gateway never gets.
BOOST_AUTO_TEST_CASE(request_without_any_permit_may_be_sent_when_the_instance_is_no_longer_cold) {
    make_cold("a", seconds{3});
    permits = 0;
    BOOST_TEST((choose({"b"}).retry_at == now + seconds{3}));
    now += seconds{3};
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
    BOOST_TEST(changes == (std::vector<std::string>{"a cold", "a warm"}),
               boost::test_tools::per_element());
}

// Guards against sends just before the row with the news came: they count as well.
BOOST_AUTO_TEST_CASE(requests_before_an_instance_became_cold_use_its_permits) {
    permits = 2;
    apply_rule();
    choose({"b"});
    choose({"b"});
    known["a"].cold_until = now + seconds{3};
    subject.update("s", known, now);
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::cold));
}

BOOST_AUTO_TEST_CASE(instance_of_a_domain_whose_drain_has_ended_is_cold_for_the_warm_up_time) {
    apply_rule();
    known["a"].warms_up_from = now;
    subject.update("s", known, now);
    permits = 0;
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::cold));
    now += warm_up_time;
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
}

// Guards against a slow restart of services whose instances tolerate any rate.
BOOST_AUTO_TEST_CASE(cold_instance_of_a_service_without_a_limit_gets_requests) {
    known["a"].cold_until = now + seconds{3};
    subject.update("s", known, now);
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
    }
}

// Guards against an attempt that is given up for an instance that cannot take the request yet.
BOOST_AUTO_TEST_CASE(cold_instance_without_a_permit_is_an_alternative_only_for_a_failed_attempt) {
    make_cold("a", seconds{3});
    permits = 0;
    BOOST_TEST(subject.has_alternative({"b"}, now));
    BOOST_TEST(!subject.has_ready_alternative({"b"}, now));
    BOOST_TEST(subject.has_ready_alternative({"a"}, now));
}

// Guards against a wait for a permit while a connection that becomes free could be used.
BOOST_AUTO_TEST_CASE(request_with_a_cold_instance_and_one_without_connection_waits_for_both) {
    make_cold("a", seconds{3});
    permits = 0;
    subject.set_connection_limit(1, {0, 1});
    start_call(*choose({"a"}).member);
    const auto choice = choose();
    BOOST_TEST((choice.outcome == choice_outcome::no_connection));
    BOOST_TEST((choice.retry_at == now + seconds{3}));
}

// Guards against permits that are used by requests which are only being planned.
BOOST_AUTO_TEST_CASE(preview_of_a_choice_uses_no_permit) {
    make_cold("a", seconds{3});
    permits = 1;
    BOOST_TEST(subject.preview({.excluded = {"b"}, .now = now}).member->identity.id == "a");
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
    BOOST_TEST((subject.preview({.excluded = {"b"}, .now = now}).member == nullptr));
}

// Guards against stage results and prompt parts that cross failure domains although an instance in
// theirs is available.
BOOST_AUTO_TEST_CASE(preview_with_a_failure_domain_prefers_the_instances_in_it) {
    known["a"].failure_domain = "y";
    known["b"].failure_domain = "x";
    subject.update("s", known, now);
    for (int n = 0; n < 8; ++n) {
        BOOST_TEST(subject.preview({.now = now}, {}, "x").member->identity.id == "b");
        BOOST_TEST(subject.preview({.now = now}, {}, "y").member->identity.id == "a");
    }
    BOOST_TEST(subject.preview({.excluded = {"b"}, .now = now}, {}, "x").member->identity.id ==
               "a");
}

// Guards against a request to an instance that was good when its engine was asked for.
BOOST_AUTO_TEST_CASE(instance_that_has_become_unable_is_not_taken) {
    BOOST_TEST(subject.take("a", now)->identity.id == "a");
    member("a")->state.request_pause(now + milliseconds{300});
    BOOST_TEST((subject.take("a", now) == nullptr));
    known["b"].phase = upstream_phase::draining;
    subject.update("s", known, now);
    BOOST_TEST((subject.take("b", now) == nullptr));
    BOOST_TEST((subject.take("gone", now) == nullptr));
}

// Guards against requests to an instance in a drained failure domain, by whatever way it is
// chosen.
BOOST_AUTO_TEST_CASE(instance_in_a_drained_domain_gets_no_request_in_any_state) {
    known["a"].domain_drained = true;
    subject.update("s", known, now);
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(choose().member->identity.id == "b");
    }
    BOOST_TEST(!subject.has_alternative({"b"}, now));
    for (std::uint64_t prefix = 1; prefix < 20; ++prefix) {
        BOOST_TEST(subject.affinity_member(prefix)->identity.id == "b");
    }
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::drained));
}

// Guards against the fallback to ejected instances, which does not look at the drain.
BOOST_AUTO_TEST_CASE(ejected_instance_in_a_drained_domain_is_no_fallback) {
    // Of two instances none may be ejected.
    known["c"] = entry("c");
    subject.update("s", known, now);
    const auto failing = choose({"b", "c"}).member;
    for (int n = 0; n < 20; ++n) {
        subject.record_failure(*failing, now);
    }
    BOOST_REQUIRE((choose({"b", "c"}).outcome == choice_outcome::chosen));
    BOOST_REQUIRE((failing->state.phase() == instance_phase::ejected));
    known["a"].domain_drained = true;
    subject.update("s", known, now);
    BOOST_TEST((choose({"b", "c"}).outcome == choice_outcome::drained));
    BOOST_TEST(!subject.has_alternative({"b", "c"}, now));
}

// Guards against a request that waits for the end of a pause at an instance that takes no work
// then.
BOOST_AUTO_TEST_CASE(pause_of_an_instance_in_a_drained_domain_is_not_waited_for) {
    member("a")->state.request_pause(now + milliseconds{300});
    known["a"].domain_drained = known["b"].domain_drained = true;
    subject.update("s", known, now);
    BOOST_TEST((choose().outcome == choice_outcome::drained));
}

BOOST_AUTO_TEST_CASE(instance_gets_requests_again_after_the_drain_of_its_domain) {
    known["a"].domain_drained = true;
    subject.update("s", known, now);
    BOOST_REQUIRE((choose({"b"}).outcome == choice_outcome::drained));
    known["a"].domain_drained = false;
    subject.update("s", known, now);
    BOOST_TEST((choose({"b"}).outcome == choice_outcome::chosen));
}

// Guards against a request that runs in a region that the operator has excluded, by whatever
// way its instance is chosen.
BOOST_AUTO_TEST_CASE(request_with_allowed_regions_gets_only_instances_there) {
    const allowed_regions regions{{"r1"}};
    known["a"].region = "r1";
    known["b"].region = "r2";
    subject.update("s", known, now);
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(subject.choose({.now = now}, regions).member->identity.id == "a");
    }
    BOOST_TEST(!subject.has_alternative({"a"}, now, regions));
    BOOST_TEST(subject.has_alternative({"a"}, now));
    for (std::uint64_t prefix = 1; prefix < 20; ++prefix) {
        BOOST_TEST(subject.affinity_member(prefix, regions)->identity.id == "a");
    }
    // The region of an instance whose failure domain is not in the settings is unknown.
    known["a"].region = "";
    subject.update("s", known, now);
    BOOST_TEST((subject.choose({.now = now}, regions).outcome == choice_outcome::none));
    BOOST_TEST((choose().outcome == choice_outcome::chosen));
}

// Guards against a placement by cost that prefers a domain to the rules which instances get work:
// a drain, the allowed regions, the permits of cold instances.
BOOST_AUTO_TEST_CASE(placement_near_the_inputs_takes_only_instances_that_may_get_work) {
    known["a"].failure_domain = "fd-1";
    known["a"].region = "r1";
    known["b"].failure_domain = "fd-2";
    known["b"].region = "r2";
    service_pool placed{loop.context(life), policy::make_load_aware({}, common::seeded_random(1)),
                        policy::make_placement_by_cost({})};
    const policy::routing_request request{.prefix = 1, .now = now, .inputs = {{"fd-1", 1e9}}};
    placed.update("s", known, now);
    BOOST_REQUIRE(placed.choose(request).member->identity.id == "a");
    BOOST_REQUIRE(placed.preview(request).member->identity.id == "a");

    BOOST_TEST(placed.choose(request, allowed_regions{{"r2"}}).member->identity.id == "b");
    BOOST_TEST(placed.preview(request, allowed_regions{{"r2"}}).member->identity.id == "b");
    known["a"].cold_until = now + seconds{3};
    placed.set_warm_up(
        warm_up_rule{warm_up_time,
                     [](std::uint64_t /*instance_digest*/, common::time_point /*now*/) {
                         return warm_up_permits{0, {}};
                     },
                     [](const pool_member& /*member*/, common::time_point /*now*/) {}},
        now);
    placed.update("s", known, now);
    BOOST_TEST(placed.choose(request).member->identity.id == "b");
    known["a"].cold_until.reset();
    known["a"].domain_drained = true;
    placed.update("s", known, now);
    BOOST_TEST(placed.choose(request).member->identity.id == "b");
}

// Guards against a copy of a prompt from an instance in a drained domain or in a region that is not
// allowed.
BOOST_AUTO_TEST_CASE(affinity_member_of_a_domain_respects_drains_and_regions) {
    known["a"].failure_domain = "fd-1";
    known["a"].region = "r1";
    subject.update("s", known, now);
    BOOST_REQUIRE(subject.affinity_member_in("fd-1", 1, allowed_regions{{"r1"}}));
    BOOST_TEST(!subject.affinity_member_in("fd-1", 1, allowed_regions{{"r2"}}));
    known["a"].domain_drained = true;
    subject.update("s", known, now);
    BOOST_TEST(!subject.affinity_member_in("fd-1", 1));
}

// Guards against an explanation that calls an instance eligible which may get no work.
BOOST_AUTO_TEST_CASE(explanation_names_drained_domain_region_and_cold_as_reasons) {
    const auto verdict_of_a = [&](const allowed_regions& regions = {}) {
        const auto explained = subject.explain({.now = now}, {}, regions);
        return common::to_name(std::find_if(explained.candidates.begin(),
                                            explained.candidates.end(),
                                            [](const auto& it) { return it.id == "a"; })
                                   ->verdict);
    };
    known["a"].region = "r1";
    known["b"].region = "r2";
    subject.update("s", known, now);
    BOOST_TEST(verdict_of_a(allowed_regions{{"r2"}}) == "other_region");
    make_cold("a", seconds{3});
    BOOST_TEST(verdict_of_a() == "cold");
    known["a"].domain_drained = true;
    subject.update("s", known, now);
    BOOST_TEST(verdict_of_a() == "domain_drained");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
