#include "policy/fair_queue.h"

#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "common/random.h"

namespace jujubemast::tests {

using common::priority;
using std::chrono::milliseconds;

struct fair_queue_fixture {
    policy::fair_queue_limits limits;
    policy::capacity_shares shares{{0.0, 0.2, 0.1}, {}};
    std::unique_ptr<policy::fair_queue> queue;
    std::uint64_t next_id = 1;

    void make_queue() { queue = std::make_unique<policy::fair_queue>(limits, shares); }

    std::vector<std::uint64_t> push(priority level, const std::string& workspace, int deadline_ms,
                                    int cost_ms = 10) {
        return queue->push({next_id++, workspace, level,
                            common::time_point{milliseconds{deadline_ms}}, milliseconds{cost_ms}});
    }

    /// Returns the cost served per workspace over a number of pops, with all workspaces backlogged.
    std::map<std::string, double> serve(int pops) {
        std::map<std::string, double> served;
        for (int n = 0; n < pops; ++n) {
            const auto work = queue->pop();
            served[work->workspace] += common::to_milliseconds(work->cost);
            queue->push({next_id++, work->workspace, work->priority, work->deadline, work->cost});
        }
        return served;
    }
};

BOOST_FIXTURE_TEST_SUITE(fair_queue_test, fair_queue_fixture)

BOOST_AUTO_TEST_CASE(fair_queue_within_a_workspace_serves_earliest_deadline_first) {
    make_queue();
    push(priority::standard, "w", 30);
    push(priority::standard, "w", 10);
    push(priority::standard, "w", 20);
    push(priority::standard, "w", 10);
    BOOST_TEST(queue->pop()->id == 2U);
    BOOST_TEST(queue->pop()->id == 4U);
    BOOST_TEST(queue->pop()->id == 3U);
    BOOST_TEST(queue->pop()->id == 1U);
    BOOST_TEST(!queue->pop());
}

BOOST_AUTO_TEST_CASE(fair_queue_without_floors_serves_more_urgent_first) {
    shares = {};
    make_queue();
    push(priority::background, "w", 1);
    push(priority::standard, "w", 2);
    push(priority::urgent, "w", 3);
    BOOST_TEST((queue->pop()->priority == priority::urgent));
    BOOST_TEST((queue->pop()->priority == priority::standard));
    BOOST_TEST((queue->pop()->priority == priority::background));
}

// Guards against shares by request count, which give a sender of long requests more capacity.
BOOST_AUTO_TEST_CASE(fair_queue_between_workspaces_shares_cost_by_weight) {
    shares.weights = {{"double", 2.0}};
    make_queue();
    for (int n = 0; n < 5; ++n) {
        push(priority::standard, "short", 100, 5);
        push(priority::standard, "long", 100, 50);
        push(priority::standard, "double", 100, 20);
    }
    const auto served = serve(4000);
    BOOST_TEST(served.at("short") == served.at("long"), boost::test_tools::tolerance(0.02));
    BOOST_TEST(served.at("double") == 2 * served.at("long"), boost::test_tools::tolerance(0.02));
}

// Guards against credit for idle time, with which a returning workspace would displace the others.
BOOST_AUTO_TEST_CASE(fair_queue_when_workspace_returns_gives_it_no_credit_for_idle_time) {
    make_queue();
    push(priority::standard, "a", 100);
    push(priority::standard, "a", 100);
    serve(1000);
    for (int n = 0; n < 5; ++n) {
        push(priority::standard, "b", 100);
    }
    const auto served = serve(100);
    BOOST_TEST(served.at("a") == served.at("b"), boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(fair_queue_with_all_priorities_backlogged_keeps_each_floor_by_cost) {
    make_queue();
    for (int n = 0; n < 5; ++n) {
        push(priority::urgent, "urgent", 100, 10);
        push(priority::standard, "standard", 100, 70);
        push(priority::background, "background", 100, 3);
    }
    const auto served = serve(20000);
    const double sum = served.at("urgent") + served.at("standard") + served.at("background");
    BOOST_TEST(served.at("standard") / sum == 0.2, boost::test_tools::tolerance(0.01));
    BOOST_TEST(served.at("background") / sum == 0.1, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(fair_queue_when_full_refuses_latest_deadline_of_largest_background_workspace) {
    limits.max_count = 10;
    make_queue();
    for (int n = 0; n < 3; ++n) {
        push(priority::urgent, "w", 900);
        push(priority::standard, "w", 900);
    }
    push(priority::background, "small", 999);
    push(priority::background, "large", 500);
    push(priority::background, "large", 700);
    push(priority::background, "large", 600);
    const auto refused = push(priority::urgent, "w", 100);
    BOOST_TEST((refused == std::vector<std::uint64_t>{9}));
}

// Guards against a flood that takes the queue space guaranteed to another priority by its floor.
BOOST_AUTO_TEST_CASE(fair_queue_when_full_of_urgent_work_admits_background_up_to_its_floor) {
    limits.max_count = 10;
    make_queue();
    for (int n = 0; n < 10; ++n) {
        push(priority::urgent, "w", 10 * n);
    }
    BOOST_TEST((push(priority::background, "b", 100) == std::vector<std::uint64_t>{10}));
    BOOST_TEST((push(priority::background, "b", 200) == std::vector<std::uint64_t>{12}));
    BOOST_TEST(queue->size(priority::background) == 1U);
}

BOOST_AUTO_TEST_CASE(fair_queue_when_total_cost_is_exceeded_refuses_by_cost) {
    limits.max_cost = milliseconds{100};
    make_queue();
    push(priority::standard, "a", 10, 30);
    push(priority::standard, "b", 10, 60);
    BOOST_TEST((push(priority::standard, "a", 10, 20) == std::vector<std::uint64_t>{2}));
    BOOST_TEST(queue->cost(priority::standard).count() ==
               common::duration{milliseconds{50}}.count());
}

// Guards against dangling nodes: mixed operations must keep counts and costs consistent.
BOOST_AUTO_TEST_CASE(fair_queue_under_random_operations_stays_consistent) {
    constexpr std::uint64_t seed = 7;
    BOOST_TEST_MESSAGE("seed " << seed);
    const auto random = common::seeded_random(seed);
    limits.max_count = 50;
    make_queue();
    std::map<std::uint64_t, policy::queued_work> model;
    for (int n = 0; n < 20000; ++n) {
        const auto number = random();
        policy::queued_work work{next_id++, "w" + std::to_string(number % 7U),
                                 static_cast<priority>(number / 7U % 3U),
                                 common::time_point{milliseconds{number / 21U % 100U}},
                                 milliseconds{1 + number / 2100U % 9U}};
        switch (number >> 62U) {
        case 0:
            if (const auto popped = queue->pop()) {
                BOOST_REQUIRE(model.erase(popped->id) == 1U);
                queue->correct_charge(*popped, popped->cost * 2);
            }
            break;
        case 1:
            if (!model.empty()) {
                BOOST_REQUIRE(queue->remove(model.begin()->first));
                model.erase(model.begin());
            }
            break;
        default:
            model.emplace(work.id, work);
            for (const auto id : queue->push(work)) {
                BOOST_REQUIRE(model.erase(id) == 1U);
            }
        }
        shares.weights["w0"] = 1.0 + static_cast<double>(number % 3U);
        queue->set_shares(shares);
        auto cost = common::duration::zero();
        for (const auto& [id, it] : model) {
            cost += it.cost;
        }
        BOOST_REQUIRE(queue->cost(priority::urgent) + queue->cost(priority::standard) +
                          queue->cost(priority::background) ==
                      cost);
    }
    while (queue->pop()) {
        model.erase(model.begin());
    }
    BOOST_TEST(model.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
