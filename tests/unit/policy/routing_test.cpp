#include "policy/routing.h"

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/digest.h"

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct routing_fixture {
    static constexpr std::uint64_t seed = 7;
    common::random_hook random = common::seeded_random(seed);
    std::vector<upstream_view> upstreams;
    routing_request request;

    routing_fixture() {
        request.now = common::time_point{} + std::chrono::hours{1};
        for (const auto* name : {"a", "b", "c", "d"}) {
            upstreams.push_back({.name = name,
                                 .name_digest = common::digest_of(name),
                                 .available = true,
                                 .limit = 10});
        }
    }

    /// Returns how often each upstream is chosen in 1,000 decisions.
    std::map<std::string, int> count_choices(const routing_hook& route) {
        std::map<std::string, int> counts;
        for (int n = 0; n < 1000; ++n) {
            if (const auto index = route(request, upstreams)) {
                ++counts[upstreams[*index].name];
            }
        }
        return counts;
    }

    void split_domains() {
        request.failure_domain = "fd-1";
        upstreams[0].failure_domain = upstreams[1].failure_domain = "fd-1";
        upstreams[2].failure_domain = upstreams[3].failure_domain = "fd-2";
    }
};

BOOST_FIXTURE_TEST_SUITE(routing_test, routing_fixture)

BOOST_AUTO_TEST_CASE(routing_when_upstream_is_loaded_prefers_the_others) {
    upstreams[0].reported_queued = 50;
    // It is chosen only if both random draws select it, with a probability of 1/16.
    BOOST_TEST(count_choices(make_load_aware({}, random))["a"] < 120);
}

// Guards against urgent requests that are lost because they probe an upstream that is still paused
// (experiment engines-paused).
BOOST_AUTO_TEST_CASE(routing_of_urgent_work_leaves_probes_to_other_work) {
    upstreams[0].probing = true;
    request.priority = common::priority::urgent;
    for (const auto& route : {make_load_aware({}, random), make_round_robin()}) {
        BOOST_TEST(count_choices(route)["a"] == 0);
    }
    request.excluded = {"b", "c", "d"};
    BOOST_TEST(count_choices(make_round_robin())["a"] == 1000);
    request = {.priority = common::priority::background, .now = request.now};
    BOOST_TEST(count_choices(make_round_robin())["a"] > 0);
}

// Guards against herding: load reports lag, so requests sent since the last report must count.
BOOST_AUTO_TEST_CASE(routing_when_work_was_sent_since_the_report_counts_it) {
    upstreams[0].sent_since_report = 5;
    BOOST_TEST(relative_load(upstreams[0]) > relative_load(upstreams[1]));
}

BOOST_AUTO_TEST_CASE(routing_when_domains_are_equally_busy_prefers_the_local_one) {
    split_domains();
    auto counts = count_choices(make_load_aware({}, random));
    BOOST_TEST(counts["a"] + counts["b"] > 700);
}

// Guards against overloading the local failure domain while others are idle.
BOOST_AUTO_TEST_CASE(routing_when_local_domain_is_busier_uses_the_other) {
    split_domains();
    upstreams[0].reported_queued = upstreams[1].reported_queued = 10;
    auto counts = count_choices(make_load_aware({}, random));
    BOOST_TEST(counts["c"] + counts["d"] > 700);
}

BOOST_AUTO_TEST_CASE(routing_when_prefix_repeats_uses_the_same_upstream) {
    request.prefix = 12345;
    BOOST_TEST(count_choices(make_load_aware({}, random)).size() == 1U);
}

// Guards against one popular prefix that overloads its upstream.
BOOST_AUTO_TEST_CASE(routing_when_preferred_upstream_is_over_the_bound_moves_the_prefix) {
    request.prefix = 12345;
    const auto route = make_load_aware({}, random);
    const auto preferred = route(request, upstreams).value();
    upstreams[preferred].reported_in_progress = 10;
    upstreams[preferred].reported_queued = 10;
    BOOST_TEST(route(request, upstreams).value() != preferred);
}

// Guards against sending a restarted upstream its full share while its caches are cold.
BOOST_AUTO_TEST_CASE(routing_when_upstream_is_new_gives_it_a_growing_share) {
    for (auto& it : upstreams) {
        it.reported_in_progress = 3;
    }
    upstreams[0].available_since = request.now - std::chrono::seconds{1};
    const auto early = count_choices(make_load_aware({}, random))["a"];
    upstreams[0].available_since = request.now - std::chrono::seconds{20};
    const auto late = count_choices(make_load_aware({}, random))["a"];
    BOOST_TEST(early < late);
}

BOOST_AUTO_TEST_CASE(routing_when_upstream_is_ejected_uses_it_only_as_last_resort) {
    for (std::size_t n = 1; n < upstreams.size(); ++n) {
        upstreams[n].ejected = true;
    }
    BOOST_TEST(count_choices(make_load_aware({}, random))["a"] == 1000);
    upstreams[0].available = false;
    BOOST_TEST(count_choices(make_load_aware({}, random)).size() == 3U);
}

BOOST_AUTO_TEST_CASE(routing_when_all_are_excluded_chooses_none) {
    request.excluded = {"a", "b", "c", "d"};
    BOOST_TEST(!make_load_aware({}, random)(request, upstreams).has_value());
    BOOST_TEST(!make_round_robin()(request, upstreams).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
