#include "gateway/stage_order.h"

#include <algorithm>
#include <numeric>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "support/property.h"

namespace jujubemast::tests {

struct stage_order_fixture {
    /// Makes stages with these dependencies.
    static std::vector<gateway::stage_spec>
    stages(const std::vector<std::vector<std::size_t>>& dependencies) {
        std::vector<gateway::stage_spec> result;
        result.reserve(dependencies.size());
        for (const auto& it : dependencies) {
            result.push_back({"s", it, 1});
        }
        return result;
    }
};

BOOST_FIXTURE_TEST_SUITE(stage_order_test, stage_order_fixture)

BOOST_AUTO_TEST_CASE(stages_in_any_order_are_sorted) {
    BOOST_TEST(*gateway::stage_order(stages({{2}, {0}, {}})) == (std::vector<std::size_t>{2, 0, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(gateway::stage_order({})->empty());
}

// Guards against stages that wait for each other until the deadline.
BOOST_AUTO_TEST_CASE(stages_that_can_never_be_made_have_no_order) {
    BOOST_TEST(!gateway::stage_order(stages({{0}})).has_value());
    BOOST_TEST(!gateway::stage_order(stages({{1}, {0}})).has_value());
    BOOST_TEST(!gateway::stage_order(stages({{}, {0, 3}, {1}, {2}})).has_value());
    BOOST_TEST(!gateway::stage_order(stages({{}, {2}})).has_value());
}

BOOST_AUTO_TEST_CASE(stages_without_cycles_follow_their_dependencies) {
    check_property(20261205, 500, [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 9);
        // The stage at a position depends only on stages of a lower rank.
        std::vector<std::size_t> ranks(count);
        std::iota(ranks.begin(), ranks.end(), 0U);
        for (auto n = count; n > 1; --n) {
            std::swap(ranks[n - 1], ranks[*rc::gen::inRange<std::size_t>(0, n)]);
        }
        std::vector<std::vector<std::size_t>> dependencies(count);
        for (std::size_t n = 0; n < count; ++n) {
            for (std::size_t m = 0; m < count; ++m) {
                if (ranks[m] < ranks[n] && *rc::gen::inRange(0, 2) == 1) {
                    dependencies[n].push_back(m);
                }
            }
        }
        const auto order = gateway::stage_order(stages(dependencies));
        RC_ASSERT(order.has_value());
        RC_ASSERT(order->size() == count);
        const auto position = [&](std::size_t n) {
            return std::find(order->begin(), order->end(), n) - order->begin();
        };
        for (std::size_t n = 0; n < count; ++n) {
            for (const auto needed : dependencies[n]) {
                RC_ASSERT(position(needed) < position(n));
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
