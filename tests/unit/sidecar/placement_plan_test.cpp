#include "sidecar/placement_plan.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "tickets/ticket.h"

namespace jujubemast::tests {

using namespace jujubemast::sidecar;

struct placement_plan_fixture {
    engine_state state{{"base"}, "generate", 3};
    placement_target target{{"base", "next"}, "generate", 5};

    void apply_order(const engine_order& order) {
        state.models = order.models;
        state.role = order.role;
        state.fencing = order.fencing;
    }
};

BOOST_FIXTURE_TEST_SUITE(placement_plan_test, placement_plan_fixture)

// Guards against an engine that unloads a model before the new one is loaded.
BOOST_AUTO_TEST_CASE(engine_when_models_change_loads_before_it_unloads) {
    target.models = {"next"};
    auto order = next_order(state, target);
    BOOST_TEST_REQUIRE(order.has_value());
    BOOST_TEST((order->models == std::set<std::string>{"base", "next"}));
    BOOST_TEST(order->fencing == 5U);
    apply_order(*order);
    order = next_order(state, target);
    BOOST_TEST_REQUIRE(order.has_value());
    BOOST_TEST((order->models == target.models));
    apply_order(*order);
    BOOST_TEST(!next_order(state, target).has_value());
}

// Guards against an outdated sidecar that reverts the orders of a newer one at an engine that
// ignores fencing numbers.
BOOST_AUTO_TEST_CASE(engine_when_ordered_by_a_higher_revision_gets_no_order) {
    state.fencing = 6;
    BOOST_TEST(!next_order(state, target).has_value());
}

BOOST_AUTO_TEST_CASE(pause_detector_when_observations_are_far_apart_reports_one_pause) {
    pause_detector detector{std::chrono::seconds{2}};
    common::time_point now;
    BOOST_TEST(!detector.observe(now));
    BOOST_TEST(!detector.observe(now += std::chrono::seconds{1}));
    BOOST_TEST(detector.observe(now += std::chrono::seconds{3}));
    BOOST_TEST(!detector.observe(now += std::chrono::seconds{1}));
}

// Guards against a placement that removes a model that a pipeline in force uses.
BOOST_AUTO_TEST_CASE(placement_when_it_lacks_a_used_model_is_refused) {
    const std::string start = "pools: {p: {kind: engine}, s: {kind: service}}\n"
                              "pipelines: {d: {priority: urgent, deadline_ms: 9, stages: [{name: "
                              "g, pool: p, operation: generate, model: base}]}}\n";
    const auto parse = [&](const std::string& placements) {
        tickets::parse_configuration(1, tickets::parse_ticket_file(start + placements));
    };
    BOOST_CHECK_NO_THROW(parse("placements: {a: {pool: p, models: [base, next], role: generate}}"));
    BOOST_CHECK_THROW(parse("placements: {a: {pool: p, models: [next], role: generate}}"),
                      common::format_error);
    BOOST_CHECK_THROW(parse("placements: {a: {pool: s, models: [base], role: generate}}"),
                      common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
