#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "common/random.h"
#include "policy/admission_control.h"
#include "policy/fair_queue.h"
#include "support/upstream_simulation.h"

namespace {

using namespace jujubemast;

constexpr std::size_t queued_requests = 10000;
constexpr std::uint64_t seed = 1;

/// Generates work with random workspaces, priorities, deadlines and costs, and ascending ids.
class work_generator {
public:
    explicit work_generator(std::int64_t workspaces) {
        for (std::int64_t n = 0; n < workspaces; ++n) {
            m_names.push_back("workspace-" + std::to_string(n));
        }
    }

    policy::queued_work next(common::time_point now) {
        const auto number = m_random();
        return {m_next_id++, m_names[number % m_names.size()],
                static_cast<common::priority>((number >> 32U) % 3U),
                now + std::chrono::milliseconds{1000 + (number >> 40U) % 4000U},
                std::chrono::milliseconds{1 + (number >> 52U) % 40U}};
    }

private:
    std::vector<std::string> m_names;
    common::random_hook m_random = common::seeded_random(seed);
    std::uint64_t m_next_id = 1;
};

policy::capacity_shares default_shares() {
    return {{0.3, 0.2, 0.1}, {}};
}

policy::queue_hooks make_queue(std::size_t capacity) {
    return policy::make_fair_queue({capacity, std::chrono::hours{24}}, default_shares());
}

/// One push and one pop with 10,000 queued requests.
void queue_push_and_pop(benchmark::State& state) {
    work_generator generator{state.range(0)};
    const auto queue = make_queue(queued_requests + 1);
    const common::time_point now{};
    for (std::size_t n = 0; n < queued_requests; ++n) {
        queue.push(generator.next(now));
    }
    for (auto iteration : state) {
        queue.push(generator.next(now));
        benchmark::DoNotOptimize(queue.pop(now));
    }
}

/// One push into a full queue, which refuses one request.
void queue_push_when_full(benchmark::State& state) {
    work_generator generator{state.range(0)};
    const auto queue = make_queue(queued_requests);
    const common::time_point now{};
    for (std::size_t n = 0; n < queued_requests; ++n) {
        queue.push(generator.next(now));
    }
    for (auto iteration : state) {
        benchmark::DoNotOptimize(queue.push(generator.next(now)));
    }
}

/// One request from admission with the deadline check to start and completion.
void control_arrive_start_complete(benchmark::State& state) {
    work_generator generator{state.range(0)};
    policy::admission_control control{make_queue(queued_requests + 1),
                                      policy::make_fixed_limit(1U << 20U), policy::deadline_check{},
                                      default_shares()};
    const common::time_point start{std::chrono::hours{1}};
    auto now = start;
    const auto admit = [&] {
        const auto work = generator.next(now);
        // The deadline is so late that nothing is refused or dropped.
        control.admit({work.id,
                       work.workspace,
                       work.priority,
                       work.deadline + std::chrono::hours{10000},
                       {},
                       "generate",
                       {2048, 0, 64},
                       work.cost},
                      now);
    };
    for (std::size_t n = 0; n < queued_requests; ++n) {
        admit();
    }
    for (auto iteration : state) {
        admit();
        const auto decision = control.start_next(0, now);
        now += std::chrono::milliseconds{2};
        control.completed(*decision.started, 1, now);
    }
}

/// One workspace sends ten times the capacity next to a small one; used to choose the safety
/// factors of the deadline check. The arguments are the factors of wait and service time on
/// admission, the factor for dropping queued work and the error of the service time estimate, in
/// percent.
void overload_by_factors(benchmark::State& state) {
    using common::priority;
    policy::deadline_check_options check_options;
    check_options.wait_factor = static_cast<double>(state.range(0)) / 100.0;
    check_options.service_factor = static_cast<double>(state.range(1)) / 100.0;
    check_options.drop_factor = static_cast<double>(state.range(2)) / 100.0;
    tests::simulation_options options;
    options.noise = static_cast<double>(state.range(3)) / 100.0;
    std::vector<tests::simulated_demand> demands{
        {"small", priority::urgent, 100, std::chrono::seconds{1}},
        {"large", priority::standard, 2000, std::chrono::seconds{1}},
        {"small", priority::standard, 60, std::chrono::seconds{1}},
        {"small", priority::background, 2000, std::chrono::seconds{1}}};
    for (auto iteration : state) {
        policy::admission_control control{make_queue(1000), policy::make_fixed_limit(options.slots),
                                          policy::deadline_check{check_options}, default_shares()};
        tests::upstream_simulation simulation{control, options};
        simulation.run(demands);
        double late = 0.0;
        double finished = 0.0;
        for (const auto it : {priority::urgent, priority::standard, priority::background}) {
            const auto outcome = simulation.outcome(it);
            late += static_cast<double>(outcome.late);
            finished += static_cast<double>(outcome.late + outcome.in_time);
        }
        const auto urgent = simulation.outcome(priority::urgent);
        const auto small = simulation.outcome(priority::standard, "small");
        state.counters["useful"] = simulation.useful_share();
        state.counters["late"] = late / finished;
        state.counters["urgent"] =
            static_cast<double>(urgent.in_time) / static_cast<double>(urgent.offered);
        state.counters["small"] =
            static_cast<double>(small.in_time) / static_cast<double>(small.offered);
    }
}

/// A flood of ten times the capacity in one priority next to steady work in the others. The
/// arguments are the flooding priority, the latency tolerance of the adaptive limit in percent
/// (zero for a fixed limit equal to the slots), the mean service time in ms and the seed.
void flood_by_limit(benchmark::State& state) {
    using common::priority;
    tests::simulation_options options;
    options.mean_service = std::chrono::milliseconds{state.range(2)};
    options.length = options.mean_service * 250 + std::chrono::seconds{30};
    options.warm_up = std::chrono::seconds{20};
    options.seed = static_cast<std::uint64_t>(state.range(3));
    options.noise = 0.3;
    const double capacity = 8000.0 / static_cast<double>(state.range(2));
    const common::duration deadline =
        std::max<common::duration>(std::chrono::seconds{1}, options.mean_service * 4);
    std::vector<tests::simulated_demand> demands{
        {"w", priority::urgent, 0.4 * capacity, deadline},
        {"w", priority::standard, 0.3 * capacity, deadline},
        {"w", priority::background, 0.3 * capacity, deadline}};
    demands.at(static_cast<std::size_t>(state.range(0))).per_second = 10.0 * capacity;
    const double tolerance = static_cast<double>(state.range(1)) / 100.0;
    for (auto iteration : state) {
        const auto limit =
            state.range(1) == 0
                ? policy::make_fixed_limit(options.slots)
                : policy::make_adaptive_limit({.maximum = 64, .tolerance = tolerance});
        policy::admission_control control{make_queue(1000), limit, policy::deadline_check{},
                                          default_shares()};
        tests::upstream_simulation simulation{control, options};
        simulation.run(demands);
        state.counters["limit"] = control.limit();
        state.counters["useful"] = simulation.useful_share();
        for (const auto it : {priority::urgent, priority::standard, priority::background}) {
            const auto outcome = simulation.outcome(it);
            const std::string name{common::to_name(it)};
            state.counters[name + "_share"] = simulation.useful_share(it);
            state.counters[name + "_in_time"] =
                static_cast<double>(outcome.in_time) / static_cast<double>(outcome.offered);
        }
    }
}

BENCHMARK(queue_push_and_pop)->Arg(10)->Arg(100)->Arg(1000)->Arg(3300);
BENCHMARK(queue_push_when_full)->Arg(10)->Arg(100)->Arg(1000)->Arg(3300);
BENCHMARK(control_arrive_start_complete)->Arg(10)->Arg(100)->Arg(1000)->Arg(3300);
BENCHMARK(overload_by_factors)
    ->ArgNames({"wait", "service", "drop", "noise"})
    ->ArgsProduct({{100, 120, 150}, {100, 115, 130}, {70, 100, 110, 130}, {10, 30}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(flood_by_limit)
    ->ArgNames({"flood", "tolerance", "service", "seed"})
    ->ArgsProduct({{0, 2}, {0, 150, 200}, {20, 1500}, {1, 2, 3}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
