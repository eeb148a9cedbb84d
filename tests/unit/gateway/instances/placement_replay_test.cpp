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
/// An engine's cache keeps a prompt part for this time after its last use.
constexpr std::chrono::seconds cache_time{60};

struct replay_load {
    std::chrono::microseconds arrival_interval{40'000};
    std::chrono::milliseconds response_time{1500};
    std::chrono::seconds settle{60};
    std::chrono::seconds time{120};
    /// Percentage of the results that are made in the first domain; the others are spread evenly.
    std::size_t in_first_domain = 100 / domains;
    /// The first eight gateways get this many times the requests of the others.
    std::size_t large_gateways = 1;
};

struct placement_totals {
    std::size_t requests = 0;
    double remote_bytes = 0;
    /// Time in which engines read shared prompt parts, for each request.
    double reading_ms = 0;
    std::uint32_t most_at_one_engine = 0;
    /// Highest share of the slots of one domain that was in use.
    double busiest_domain = 0;
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

    /// Draws a prefix; the most frequent one has an eighth of the requests.
    std::uint64_t draw_prefix() {
        constexpr std::size_t steps = 1000;
        const double unit = static_cast<double>(common::uniform_below(random, steps)) / steps;
        return 1 + static_cast<std::uint64_t>(prefixes * unit * unit);
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

    std::size_t draw_gateway(const replay_load& load) {
        constexpr std::size_t large = 8;
        const auto drawn =
            common::uniform_below(random, large * load.large_gateways + gateways - large);
        const auto is_large = drawn < large * load.large_gateways;
        return is_large ? drawn % large : drawn - large * (load.large_gateways - 1);
    }

    std::string draw_result_domain(const replay_load& load) {
        const bool is_first = common::uniform_below(random, 100) < load.in_first_domain;
        return domain_name(is_first ? 0 : 1 + common::uniform_below(random, domains - 1));
    }

    [[nodiscard]] double busiest_domain() const {
        std::vector<double> used(domains);
        std::vector<double> slots(domains);
        for (std::size_t n = 0; n < engines; ++n) {
            slots[n % domains] += upstreams[n].limit;
            for (const auto& it : in_progress) {
                used[n % domains] += it[n];
            }
        }
        double highest = 0;
        for (std::size_t n = 0; n < domains; ++n) {
            highest = std::max(highest, used[n] / slots[n]);
        }
        return highest;
    }

    void forget_everything() {
        running.clear();
        caches.clear();
        memories.assign(gateways, {});
        in_progress.assign(gateways, std::vector<std::uint32_t>(engines));
    }

    placement_totals replay(const placement_hook& place, const replay_load& load) {
        placement_totals totals;
        forget_everything();
        const common::time_point begin{std::chrono::hours{1}};
        for (auto now = begin; now < begin + load.settle + load.time;
             now += load.arrival_interval) {
            std::erase_if(running, [&](const running_request& it) {
                const bool ended = it.end <= now;
                in_progress[it.gateway][it.engine] -= ended ? 1 : 0;
                return ended;
            });
            const auto gateway = draw_gateway(load);
            routing_request request;
            request.failure_domain = domain_name(gateway % domains);
            request.prefix = draw_prefix();
            request.prefix_shared = true;
            request.prompt_ms = prompt_ms;
            request.senders = gateways;
            request.now = now;
            request.inputs = {{draw_result_domain(load), result_bytes}};
            const auto engine = choose(place, gateway, request).index.value();
            memories[gateway].record(request.prefix, upstreams[engine].name_digest, now);
            auto& cache = caches[request.prefix];
            cache.resize(engines);
            ++in_progress[gateway][engine];
            running.push_back({now + load.response_time, gateway, engine});
            if (now >= begin + load.settle) {
                const bool is_remote =
                    upstreams[engine].failure_domain != request.inputs[0].failure_domain;
                ++totals.requests;
                totals.remote_bytes += is_remote ? result_bytes : 0;
                totals.reading_ms += now - cache[engine] > cache_time ? prompt_ms : 0;
                totals.busiest_domain = std::max(totals.busiest_domain, busiest_domain());
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
    static double reading_of(const placement_totals& it) {
        return it.reading_ms / static_cast<double>(it.requests);
    }

    static void print(const char* name, const placement_totals& it) {
        BOOST_TEST_MESSAGE(name << ": requests=" << it.requests << " remote_mb="
                                << it.remote_bytes / 1e6 << " reading_ms_each=" << reading_of(it)
                                << " most_at_one_engine=" << it.most_at_one_engine
                                << " busiest_domain=" << it.busiest_domain);
    }

    /// 156 requests of 10 s in a second use half of the slots.
    const replay_load half_load{std::chrono::microseconds{6400}, std::chrono::seconds{10},
                                std::chrono::seconds{15}, std::chrono::seconds{20}};
};

BOOST_FIXTURE_TEST_SUITE(placement_replay_test, placement_replay_fixture)

// Guards against engines that are chosen by the prefix alone after the results were made elsewhere:
// three quarters of the results crossed domains.
BOOST_AUTO_TEST_CASE(bytes_between_domains_fall_by_two_thirds_without_longer_reading) {
    const auto former = replay(place_by_routing, {});
    const auto by_cost = replay(make_placement_by_cost({}), {});
    print("former", former);
    print("by cost", by_cost);
    BOOST_TEST(by_cost.remote_bytes < former.remote_bytes / 3);
    BOOST_TEST(reading_of(by_cost) < reading_of(former) + 5);
    BOOST_TEST(by_cost.most_at_one_engine <= former.most_at_one_engine);
}

// Guards against gateways that take chance differences of their own few requests for load.
BOOST_AUTO_TEST_CASE(bytes_between_domains_fall_by_two_thirds_with_half_of_the_slots_in_use) {
    const auto former = replay(place_by_routing, half_load);
    const auto by_cost = replay(make_placement_by_cost({}), half_load);
    print("former", former);
    print("by cost", by_cost);
    BOOST_TEST(by_cost.remote_bytes < former.remote_bytes / 3);
}

// Guards against gateways with more callers than others that take the engines for full, because
// they estimate the load of all from their own.
BOOST_AUTO_TEST_CASE(bytes_between_domains_fall_by_two_thirds_with_gateways_of_different_size) {
    auto load = half_load;
    load.large_gateways = 5;
    const auto former = replay(place_by_routing, load);
    const auto by_cost = replay(make_placement_by_cost({}), load);
    print("former", former);
    print("by cost", by_cost);
    BOOST_TEST(by_cost.remote_bytes < former.remote_bytes / 3);
    BOOST_TEST(by_cost.busiest_domain < 0.8);
}

// Guards against a domain that makes most of the results and whose engines would all be in use.
BOOST_AUTO_TEST_CASE(results_made_mostly_in_one_domain_do_not_overload_its_engines) {
    auto load = half_load;
    load.in_first_domain = 70;
    const auto former = replay(place_by_routing, load);
    const auto by_cost = replay(make_placement_by_cost({}), load);
    print("former", former);
    print("by cost", by_cost);
    BOOST_TEST(by_cost.busiest_domain < 0.95);
    BOOST_TEST(by_cost.remote_bytes < former.remote_bytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
