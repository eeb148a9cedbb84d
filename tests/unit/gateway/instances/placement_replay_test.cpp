#include <cmath>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/digest.h"
#include "gateway/instances/prefix_memory.h"
#include "policy/placement.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using namespace jujubemast::policy;

namespace {

constexpr std::size_t gateways = 27;
constexpr std::size_t domains = 4;
constexpr std::size_t engines = 49;
constexpr std::size_t prefixes = 60;
constexpr double result_bytes = 1'600'000;
constexpr double prompt_ms = 50;
constexpr std::chrono::milliseconds arrival_interval{40};
constexpr std::chrono::milliseconds response_time{1500};
/// An engine's cache keeps a prompt part for this time after its last use.
constexpr std::chrono::seconds cache_time{60};

struct placement_totals {
    std::size_t requests = 0;
    double remote_bytes = 0;
    /// Time in which engines read shared prompt parts, for each request.
    double reading_ms = 0;
    std::uint32_t most_at_one_engine = 0;
};

} // namespace

/// Replays requests with large results on a virtual clock. Their results are made in a random
/// domain, their prefixes are used unevenly, and each gateway knows only its own requests.
struct placement_replay_fixture {
    static constexpr std::uint64_t seed = 11;
    common::random_hook random = common::seeded_random(seed);
    std::vector<upstream_view> upstreams;
    std::vector<prefix_memory> memories{gateways};
    std::vector<std::vector<std::uint32_t>> in_progress{gateways,
                                                        std::vector<std::uint32_t>(engines)};
    struct running_request {
        common::time_point end;
        std::size_t gateway = 0;
        std::size_t engine = 0;
    };
    std::vector<running_request> running;
    /// Last use of each prefix at each engine.
    std::unordered_map<std::uint64_t, std::vector<common::time_point>> caches;
    routing_hook route = make_load_aware({.affinity_margin = 0.1}, random);

    placement_replay_fixture() {
        for (std::size_t n = 0; n < engines; ++n) {
            const auto name = "engine-" + std::to_string(n);
            upstreams.push_back({.name = name,
                                 .name_digest = common::digest_of(name),
                                 .failure_domain = domain_name(n % domains),
                                 .available = true,
                                 .limit = 64});
        }
    }

    static std::string domain_name(std::size_t n) { return "fd-" + std::to_string(n); }

    /// Draws a prefix; the most frequent tenth of them has half of the requests.
    std::uint64_t draw_prefix() {
        constexpr std::size_t steps = 1000;
        const double unit = static_cast<double>(common::uniform_below(random, steps)) / steps;
        return 1 + static_cast<std::uint64_t>(prefixes * std::pow(unit, 3.3));
    }

    placement_choice choose(const placement_hook& place, std::size_t gateway,
                            routing_request& request) {
        auto views = upstreams;
        for (std::size_t n = 0; n < engines; ++n) {
            views[n].reported_in_progress = in_progress[gateway][n];
            views[n].holds_prefix =
                memories[gateway].holds(request.prefix, views[n].name_digest, request.now);
        }
        request.prefix_uses = memories[gateway].uses(request.prefix, request.now);
        return place(request, views, route);
    }

    placement_totals replay(const placement_hook& place, std::chrono::seconds time) {
        placement_totals totals;
        constexpr std::chrono::seconds settle{60};
        const common::time_point begin{std::chrono::hours{1}};
        for (auto now = begin; now < begin + settle + time; now += arrival_interval) {
            std::erase_if(running, [&](const running_request& it) {
                const bool ended = it.end <= now;
                in_progress[it.gateway][it.engine] -= ended ? 1 : 0;
                return ended;
            });
            const auto gateway = common::uniform_below(random, gateways);
            routing_request request;
            request.failure_domain = domain_name(gateway % domains);
            request.prefix = draw_prefix();
            request.prefix_shared = true;
            request.prompt_ms = prompt_ms;
            request.senders = gateways;
            request.now = now;
            request.inputs = {{domain_name(common::uniform_below(random, domains)), result_bytes}};
            const auto engine = choose(place, gateway, request).index.value();
            memories[gateway].record(request.prefix, upstreams[engine].name_digest, now);
            auto& cache = caches[request.prefix];
            cache.resize(engines);
            ++in_progress[gateway][engine];
            running.push_back({now + response_time, gateway, engine});
            if (now >= begin + settle) {
                const bool is_remote =
                    upstreams[engine].failure_domain != request.inputs[0].failure_domain;
                ++totals.requests;
                totals.remote_bytes += is_remote ? result_bytes : 0;
                totals.reading_ms += now - cache[engine] > cache_time ? prompt_ms : 0;
                totals.most_at_one_engine =
                    std::max(totals.most_at_one_engine,
                             static_cast<std::uint32_t>(
                                 std::count_if(running.begin(), running.end(), [&](const auto& it) {
                                     return it.engine == engine;
                                 })));
            }
            cache[engine] = now;
        }
        return totals;
    }
};

BOOST_FIXTURE_TEST_SUITE(placement_replay_test, placement_replay_fixture)

// Guards against engines that are chosen by the prefix alone after the results were made elsewhere:
// three quarters of the results crossed domains.
BOOST_AUTO_TEST_CASE(bytes_between_domains_fall_by_two_thirds_without_longer_reading) {
    const auto former = replay(place_by_routing, std::chrono::seconds{120});
    const placement_replay_fixture fresh;
    running.clear();
    caches.clear();
    memories = fresh.memories;
    in_progress = fresh.in_progress;
    const auto by_cost = replay(make_placement_by_cost({}), std::chrono::seconds{120});
    for (const auto& [name, it] : {std::pair{"former", former}, std::pair{"by cost", by_cost}}) {
        BOOST_TEST_MESSAGE(name << ": requests=" << it.requests
                                << " remote_mb=" << it.remote_bytes / 1e6 << " reading_ms_each="
                                << it.reading_ms / static_cast<double>(it.requests)
                                << " most_at_one_engine=" << it.most_at_one_engine);
    }
    BOOST_TEST(by_cost.remote_bytes < former.remote_bytes / 3);
    const auto reading_of = [](const placement_totals& it) {
        return it.reading_ms / static_cast<double>(it.requests);
    };
    BOOST_TEST(reading_of(by_cost) < reading_of(former) + 5);
    BOOST_TEST(by_cost.most_at_one_engine <= former.most_at_one_engine);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
