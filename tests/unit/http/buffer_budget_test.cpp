#include "http/buffer_budget.h"

#include <numeric>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "support/property.h"

namespace jujubemast::tests {

struct buffer_budget_fixture {
    static constexpr std::size_t limit = 1000;
    http::buffer_budget subject{limit};
};

BOOST_FIXTURE_TEST_SUITE(buffer_budget_test, buffer_budget_fixture)

BOOST_AUTO_TEST_CASE(holder_gets_at_most_half_of_what_the_others_leave) {
    BOOST_TEST(!subject.reserve(0, 501));
    BOOST_TEST(subject.reserve(0, 400));
    BOOST_TEST(!subject.reserve(400, 101));
    BOOST_TEST(subject.reserve(400, 100));
    BOOST_TEST(!subject.reserve(0, 251));
    BOOST_TEST(subject.reserve(0, 250));
    subject.release(500);
    BOOST_TEST(subject.reserved() == 250U);
    BOOST_TEST(subject.reserve(0, 375));
}

BOOST_AUTO_TEST_CASE(budget_without_a_limit_never_refuses) {
    http::buffer_budget unlimited;
    BOOST_TEST(unlimited.reserve(0, limit));
    BOOST_TEST(unlimited.reserve(limit, std::size_t{1} << 60U));
}

// Guards against many holders that fill the memory together, and against holders that leave no room
// for a small one.
BOOST_AUTO_TEST_CASE(holders_that_grow_stay_below_the_limit_and_leave_room) {
    check_property(20261205, 300, [] {
        http::buffer_budget budget{limit};
        std::vector<std::size_t> held(*rc::gen::inRange<std::size_t>(1, 40));
        for (int n = 0; n < 400; ++n) {
            auto& holder = held[*rc::gen::inRange<std::size_t>(0, held.size())];
            if (*rc::gen::inRange(0, 10) == 0) {
                budget.release(holder);
                holder = 0;
                continue;
            }
            const auto added = *rc::gen::inRange<std::size_t>(0, 200);
            if (budget.reserve(holder, added)) {
                holder += added;
            }
            const auto sum = std::accumulate(held.begin(), held.end(), std::size_t{0});
            RC_ASSERT(budget.reserved() == sum);
            RC_ASSERT(sum < limit);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
