#include "policy/placement.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/digest.h"

namespace jujubemast::tests {

using namespace jujubemast::policy;

/// Two engines in each of two failure domains, and a prompt whose prefix maps to the first domain.
struct placement_fixture {
    static constexpr std::uint64_t seed = 3;
    common::random_hook random = common::seeded_random(seed);
    routing_hook route = make_load_aware({.affinity_margin = 0.1}, random);
    placement_hook place = make_placement_by_cost({});
    std::vector<upstream_view> upstreams;
    routing_request request;

    placement_fixture() {
        for (const auto* name : {"a", "b", "c", "d"}) {
            upstreams.push_back({.name = name,
                                 .name_digest = common::digest_of(name),
                                 .failure_domain = upstreams.size() < 2 ? "fd-1" : "fd-2",
                                 .available = true,
                                 .limit = 64});
        }
        request.now = common::time_point{} + std::chrono::hours{1};
        request.failure_domain = "fd-1";
        request.prefix_shared = true;
        request.prompt_ms = 90;
        request.senders = 27;
        do {
            ++request.prefix;
        } while (domain_of(route(request, upstreams).value()) != "fd-1");
        request.inputs = {{"fd-2", 1'600'000}};
    }

    [[nodiscard]] const std::string& domain_of(std::size_t n) const {
        return upstreams[n].failure_domain;
    }

    placement_choice choose() { return place(request, upstreams, route); }

    void set_load(const std::string& domain, std::uint32_t requests) {
        for (auto& it : upstreams) {
            if (it.failure_domain == domain) {
                it.reported_in_progress = requests;
            }
        }
    }

    /// Marks the upstreams of the second domain as readers of the prefix.
    void hold_prefix_at_inputs() { upstreams[2].holds_prefix = upstreams[3].holds_prefix = true; }
};

BOOST_FIXTURE_TEST_SUITE(placement_test, placement_fixture)

// Guards against engines that read large results from another failure domain although one in the
// domain of the results would answer as soon.
BOOST_AUTO_TEST_CASE(request_whose_prompt_is_held_there_goes_to_its_inputs) {
    hold_prefix_at_inputs();
    const auto choice = choose();
    BOOST_TEST(domain_of(choice.index.value()) == "fd-2");
    BOOST_TEST((choice.reason == placement_reason::moved_to_inputs));
    BOOST_TEST(choice.remote_bytes == 0);
    place = place_by_routing;
    BOOST_TEST(domain_of(choose().index.value()) == "fd-1");
}

BOOST_AUTO_TEST_CASE(request_with_a_rare_long_prompt_goes_where_the_prompt_is_held) {
    const auto choice = choose();
    BOOST_TEST(domain_of(choice.index.value()) == "fd-1");
    BOOST_TEST((choice.reason == placement_reason::prompt));
    BOOST_TEST(choice.remote_bytes == 1'600'000);
}

// Guards against a prefix that never becomes known in the other domains, because each single
// request finds its reading too expensive.
BOOST_AUTO_TEST_CASE(request_with_a_prompt_in_frequent_use_goes_to_its_inputs) {
    request.prefix_uses = 1;
    BOOST_TEST(domain_of(choose().index.value()) == "fd-2");
}

BOOST_AUTO_TEST_CASE(requests_with_one_prefix_go_to_the_same_upstream_of_a_domain) {
    request.prefix_uses = 1;
    const auto first = choose().index;
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST((choose().index == first));
    }
}

// Guards against callers that wait at the busy engines of one domain to save bytes.
BOOST_AUTO_TEST_CASE(request_whose_inputs_are_in_a_busy_domain_goes_to_another) {
    hold_prefix_at_inputs();
    set_load("fd-1", 10);
    set_load("fd-2", 60);
    const auto choice = choose();
    BOOST_TEST(domain_of(choice.index.value()) == "fd-1");
    BOOST_TEST((choice.reason == placement_reason::load));
}

BOOST_AUTO_TEST_CASE(
    request_whose_inputs_are_in_a_domain_without_usable_upstreams_goes_to_another) {
    hold_prefix_at_inputs();
    upstreams[2].available = false;
    upstreams[3].ejected = true;
    const auto choice = choose();
    BOOST_TEST(domain_of(choice.index.value()) == "fd-1");
    BOOST_TEST((choice.reason == placement_reason::none_at_inputs));
}

BOOST_AUTO_TEST_CASE(request_whose_inputs_are_divided_goes_to_the_larger_part) {
    request.inputs = {{"fd-1", 200'000}, {"fd-2", 1'600'000}};
    hold_prefix_at_inputs();
    const auto choice = choose();
    BOOST_TEST(domain_of(choice.index.value()) == "fd-2");
    BOOST_TEST(choice.remote_bytes == 200'000);
}

BOOST_AUTO_TEST_CASE(request_whose_inputs_are_where_it_goes_anyway_is_not_moved) {
    request.inputs = {{"fd-1", 800'000}};
    hold_prefix_at_inputs();
    BOOST_TEST((choose().reason == placement_reason::at_inputs));
}

BOOST_AUTO_TEST_CASE(request_without_large_inputs_follows_the_routing_policy) {
    request.inputs.clear();
    BOOST_TEST((choose().index == route(request, upstreams)));
    BOOST_TEST((choose().reason == placement_reason::routing));
}

// Guards against the copy of a long prompt part from another domain whenever the engine that it
// maps to has a few requests more than the others.
BOOST_AUTO_TEST_CASE(request_whose_prompt_maps_to_an_overloaded_upstream_stays_in_its_domain) {
    request.inputs.clear();
    request.prompt_bytes = 90e6;
    for (const auto* name : {"e", "f", "g", "h"}) {
        auto added = upstreams[upstreams.size() < 6 ? 0 : 2];
        added.name = name;
        added.name_digest = common::digest_of(name);
        upstreams.push_back(added);
    }
    std::size_t moved = 0;
    for (int n = 0; n < 200; ++n) {
        ++request.prefix;
        for (auto& it : upstreams) {
            it.reported_in_progress = 10;
        }
        const auto first = route(request, upstreams).value();
        upstreams[first].reported_in_progress = 25;
        const auto choice = choose();
        BOOST_TEST(choice.index.value() != first);
        BOOST_TEST(domain_of(*choice.index) == domain_of(first));
        moved += choice.reason == placement_reason::near_prompt ? 1 : 0;
    }
    BOOST_TEST(moved > 50U);
}

BOOST_AUTO_TEST_CASE(request_whose_prompt_maps_to_a_busy_domain_leaves_it) {
    request.inputs.clear();
    request.prompt_bytes = 90e6;
    set_load("fd-1", 60);
    BOOST_TEST(domain_of(choose().index.value()) == "fd-2");
}

// Guards against retries and resumed streams whose prompt is read once more although another engine
// holds it.
BOOST_AUTO_TEST_CASE(retry_goes_to_an_upstream_that_holds_the_prompt) {
    request.inputs.clear();
    const auto failed = route(request, upstreams).value();
    request.excluded = {upstreams[failed].name};
    const auto next = route(request, upstreams).value();
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        upstreams[n].holds_prefix = n != next;
    }
    const auto choice = choose();
    BOOST_TEST(upstreams[choice.index.value()].holds_prefix);
    BOOST_TEST(*choice.index != failed);
    BOOST_TEST((choice.reason == placement_reason::prompt_held));
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        upstreams[n].reported_in_progress = n == next ? 0 : 20;
    }
    BOOST_TEST((choose().index == next));
}

BOOST_AUTO_TEST_CASE(request_without_prompt_goes_to_its_target_domain) {
    request.inputs.clear();
    request.prefix = 0;
    for (const auto* target : {"fd-1", "fd-2"}) {
        request.target_domain = target;
        for (int n = 0; n < 20; ++n) {
            BOOST_TEST(domain_of(choose().index.value()) == target);
        }
    }
    BOOST_TEST((choose().reason == placement_reason::overflow));
    upstreams[2].ejected = upstreams[3].ejected = true;
    BOOST_TEST(domain_of(choose().index.value()) == "fd-1");
    BOOST_TEST((choose().reason == placement_reason::none_in_target));
}

// Guards against a change for deployments with one failure domain.
BOOST_AUTO_TEST_CASE(request_in_a_single_domain_follows_the_routing_policy) {
    for (auto& it : upstreams) {
        it.failure_domain = "fd-1";
    }
    BOOST_TEST((choose().index == route(request, upstreams)));
    BOOST_TEST((choose().reason == placement_reason::routing));
}

BOOST_AUTO_TEST_CASE(request_after_failures_in_the_domain_of_its_inputs_goes_to_another) {
    hold_prefix_at_inputs();
    request.excluded = {"c", "d"};
    BOOST_TEST(domain_of(choose().index.value()) == "fd-1");
}

// Guards against chance: a gateway that sees a few requests more in one domain takes it for busy.
BOOST_AUTO_TEST_CASE(domain_with_slightly_more_requests_does_not_count_as_busier) {
    set_load("fd-1", 7);
    set_load("fd-2", 8);
    BOOST_TEST(queue_wait_ms(busy_share_of(request, upstreams, "fd-1")) == 0);
    BOOST_TEST(queue_wait_ms(busy_share_of(request, upstreams, "fd-2")) == 0);
    set_load("fd-2", 30);
    BOOST_TEST(queue_wait_ms(busy_share_of(request, upstreams, "fd-1")) == 0);
    BOOST_TEST(queue_wait_ms(busy_share_of(request, upstreams, "fd-2")) > 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
