#include "policy/admission_control.h"

#include <boost/test/unit_test.hpp>

#include "policy/fair_queue.h"
#include "support/upstream_simulation.h"

namespace jujubemast::tests {

using common::priority;

// Eight slots with a mean service time of 20 ms serve 400 requests per second.
struct admission_control_fixture {
    static constexpr double capacity = 400.0;

    policy::capacity_shares shares{{0.3, 0.2, 0.1}, {}};
    simulation_options options;
    std::uint32_t limit_at_end = 0;
    std::function<policy::limit_hooks()> make_limit = [this] {
        return policy::make_fixed_limit(options.slots);
    };

    void use_adaptive_limit() {
        make_limit = [] { return policy::make_adaptive_limit({.maximum = 64, .initial = 4}); };
    }

    upstream_simulation simulate(const std::vector<simulated_demand>& demands) {
        BOOST_TEST_MESSAGE("seed " << options.seed);
        policy::admission_control control{policy::make_fair_queue({}, shares), make_limit(),
                                          policy::deadline_check{}, shares};
        upstream_simulation run{control, options};
        run.run(demands);
        limit_at_end = control.limit();
        for (std::size_t n = 0; n < 3; ++n) {
            const auto it = run.outcome(static_cast<priority>(n));
            BOOST_TEST_MESSAGE(common::to_name(static_cast<priority>(n))
                               << " offered " << it.offered << " in time " << it.in_time << " late "
                               << it.late << " refused " << it.refused << " share "
                               << run.useful_share(static_cast<priority>(n)));
        }
        return run;
    }

    static double in_time_ratio(const simulated_outcome& it) {
        return static_cast<double>(it.in_time) / static_cast<double>(it.offered);
    }

    static simulated_demand demand(priority level, double load,
                                   const std::string& workspace = "w") {
        return {workspace, level, load * capacity, std::chrono::seconds{1}};
    }
};

BOOST_FIXTURE_TEST_SUITE(admission_control_test, admission_control_fixture)

BOOST_AUTO_TEST_CASE(admission_control_at_steady_load_completes_nearly_all_in_time) {
    const auto run = simulate({demand(priority::urgent, 0.3), demand(priority::standard, 0.3),
                               demand(priority::background, 0.1)});
    for (const auto it : {priority::urgent, priority::standard, priority::background}) {
        BOOST_TEST(in_time_ratio(run.outcome(it)) >= 0.999);
    }
}

// Guards against a flood of background work that delays urgent and standard work.
BOOST_AUTO_TEST_CASE(admission_control_in_background_flood_does_not_affect_urgent_and_standard) {
    const std::vector<simulated_demand> steady{demand(priority::urgent, 0.4),
                                               demand(priority::standard, 0.3)};
    auto flooded = steady;
    flooded.push_back(demand(priority::background, 10.0));
    const auto before = simulate(steady);
    const auto run = simulate(flooded);
    BOOST_TEST(in_time_ratio(run.outcome(priority::urgent)) >= 0.99);
    BOOST_TEST(run.useful_share(priority::standard) >=
               0.95 * before.useful_share(priority::standard));
    BOOST_TEST(run.useful_share() >= 0.9);
}

// Guards against strict priority order, which would starve the less urgent priorities.
BOOST_AUTO_TEST_CASE(admission_control_in_urgent_flood_keeps_floors_of_the_others) {
    const auto run = simulate({demand(priority::urgent, 10.0), demand(priority::standard, 0.4),
                               demand(priority::background, 0.3)});
    BOOST_TEST(run.useful_share(priority::standard) >= 0.9 * shares.floors[1]);
    BOOST_TEST(run.useful_share(priority::background) >= 0.9 * shares.floors[2]);
    BOOST_TEST(run.useful_share() >= 0.9);
}

// Guards against refusals of a priority whose demand is just below its floor.
BOOST_AUTO_TEST_CASE(admission_control_in_urgent_flood_serves_demand_below_its_floor) {
    const auto run = simulate({demand(priority::urgent, 10.0), demand(priority::standard, 0.15),
                               demand(priority::background, 0.07)});
    BOOST_TEST(in_time_ratio(run.outcome(priority::standard)) >= 0.9);
    BOOST_TEST(in_time_ratio(run.outcome(priority::background)) >= 0.9);
}

// Guards against shares by request count or arrival order, with which one large workspace displaces
// the others.
BOOST_AUTO_TEST_CASE(admission_control_with_one_large_workspace_keeps_service_of_small_ones) {
    std::vector<simulated_demand> small;
    small.reserve(10);
    for (int n = 0; n < 10; ++n) {
        small.push_back(demand(priority::standard, 0.06, "small-" + std::to_string(n)));
    }
    auto all = small;
    all.push_back(demand(priority::standard, 20 * 0.06, "large"));
    const auto before = simulate(small);
    const auto run = simulate(all);
    for (const auto& it : small) {
        const auto alone = in_time_ratio(before.outcome(priority::standard, it.workspace));
        BOOST_TEST(in_time_ratio(run.outcome(priority::standard, it.workspace)) >= 0.99 * alone);
    }
    BOOST_TEST(run.useful_share() >= 0.9);
}

BOOST_AUTO_TEST_CASE(admission_control_in_flood_of_one_priority_keeps_useful_share_high) {
    for (const auto it : {priority::urgent, priority::standard, priority::background}) {
        const auto run = simulate({demand(it, 10.0)});
        BOOST_TEST(run.useful_share() >= 0.9);
    }
}

// Guards against a limit that takes the service time under overload for that without load and keeps
// growing.
BOOST_AUTO_TEST_CASE(admission_control_with_adaptive_limit_in_flood_protects_urgent) {
    use_adaptive_limit();
    const auto run = simulate({demand(priority::urgent, 0.4), demand(priority::standard, 0.3),
                               demand(priority::background, 10.0)});
    BOOST_TEST(in_time_ratio(run.outcome(priority::urgent)) >= 0.99);
    BOOST_TEST(in_time_ratio(run.outcome(priority::standard)) >= 0.95);
    BOOST_TEST(run.useful_share() >= 0.9);
    BOOST_TEST(limit_at_end >= options.slots);
    BOOST_TEST(limit_at_end <= 3 * options.slots);
}

// Guards against refusing all work forever: refused work does not correct a service time estimate
// that is too high.
BOOST_AUTO_TEST_CASE(admission_control_after_upstream_was_too_slow_serves_again_within_seconds) {
    options.slow_factor = 100.0;
    options.slow_end = std::chrono::seconds{15};
    options.warm_up = std::chrono::seconds{20};
    for (const bool adaptive : {false, true}) {
        if (adaptive) {
            use_adaptive_limit();
        }
        const auto run = simulate({demand(priority::urgent, 0.3), demand(priority::standard, 0.3)});
        BOOST_TEST(in_time_ratio(run.outcome(priority::urgent)) >= 0.99);
        BOOST_TEST(in_time_ratio(run.outcome(priority::standard)) >= 0.99);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
