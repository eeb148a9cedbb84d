#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "common/digest.h"
#include "policy/routing.h"
#include "policy/subset.h"

namespace {

using namespace jujubemast;

constexpr std::uint64_t seed = 1;

std::vector<policy::upstream_view> make_views(std::int64_t size) {
    const auto random = common::seeded_random(seed);
    std::vector<policy::upstream_view> views;
    views.reserve(size);
    for (std::int64_t n = 0; n < size; ++n) {
        const auto name = "upstream-" + std::to_string(n);
        views.push_back({.name = name,
                         .name_digest = common::digest_of(name),
                         .failure_domain = "fd-" + std::to_string(n % 5),
                         .available = true,
                         .reported_queued = static_cast<std::uint32_t>(random() % 8),
                         .limit = 8});
    }
    return views;
}

void route(benchmark::State& state, const policy::routing_hook& choose, std::uint64_t prefix) {
    const auto views = make_views(state.range(0));
    policy::routing_request request;
    request.failure_domain = "fd-1";
    request.prefix = prefix;
    request.now = common::time_point{} + std::chrono::hours{1};
    for (auto iteration : state) {
        benchmark::DoNotOptimize(choose(request, views));
        request.prefix += prefix;
    }
}

void route_by_load(benchmark::State& state) {
    route(state, policy::make_load_aware({}, common::seeded_random(seed)), 0);
}

void route_by_prefix(benchmark::State& state) {
    route(state, policy::make_load_aware({}, common::seeded_random(seed)), 977);
}

void route_round_robin(benchmark::State& state) {
    route(state, policy::make_round_robin(), 0);
}

/// Choice of the upstreams that an entry links to after a change of the membership.
void choose_subset(benchmark::State& state) {
    std::vector<policy::subset_member> members;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        members.push_back({"upstream-" + std::to_string(n), "fd-" + std::to_string(n % 5)});
    }
    for (auto iteration : state) {
        benchmark::DoNotOptimize(policy::choose_subset("entry-1", "fd-1", members, 24));
    }
}

} // namespace

BENCHMARK(route_by_load)->Arg(4)->Arg(16)->Arg(64)->Arg(256);
BENCHMARK(route_by_prefix)->Arg(4)->Arg(16)->Arg(64)->Arg(256);
BENCHMARK(route_round_robin)->Arg(64);
BENCHMARK(choose_subset)->Arg(200)->Arg(1600)->Unit(benchmark::kMicrosecond);
