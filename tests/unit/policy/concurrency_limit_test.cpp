#include "policy/concurrency_limit.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using std::chrono::milliseconds;

struct concurrency_limit_fixture {
    static constexpr common::duration unloaded = milliseconds{10};
    policy::limit_hooks limit = policy::make_adaptive_limit({.maximum = 64, .initial = 4});
    common::time_point now{std::chrono::hours{1}};

    /// Completes calls at an upstream that serves `slots` calls at a time and queues the others.
    void complete_calls(int calls, std::uint32_t slots) {
        for (int n = 0; n < calls; ++n) {
            const auto in_progress = limit.current();
            const double slowdown =
                std::max(1.0, static_cast<double>(in_progress) / static_cast<double>(slots));
            now += unloaded / std::min(in_progress, slots);
            limit.completed({std::chrono::duration_cast<common::duration>(unloaded * slowdown),
                             unloaded, in_progress, in_progress <= limit.low_load_limit(), now});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(concurrency_limit_test, concurrency_limit_fixture)

BOOST_AUTO_TEST_CASE(concurrency_limit_with_fast_upstream_rises_to_its_maximum) {
    complete_calls(1000, 200);
    BOOST_TEST(limit.current() == 64U);
}

BOOST_AUTO_TEST_CASE(concurrency_limit_settles_between_slots_and_tolerance) {
    complete_calls(20000, 8);
    BOOST_TEST(limit.current() >= 8U);
    BOOST_TEST(limit.current() <= 17U);
}

BOOST_AUTO_TEST_CASE(concurrency_limit_when_upstream_loses_slots_falls_and_rises_again) {
    complete_calls(2000, 24);
    BOOST_TEST(limit.current() >= 24U);
    complete_calls(2000, 2);
    BOOST_TEST(limit.current() <= 5U);
    complete_calls(5000, 24);
    BOOST_TEST(limit.current() >= 24U);
}

// Guards against a limit that grows while it is not reached and later admits a burst.
BOOST_AUTO_TEST_CASE(concurrency_limit_while_not_in_use_does_not_rise) {
    for (int n = 0; n < 1000; ++n) {
        limit.completed({unloaded, unloaded, 1, true, now});
    }
    BOOST_TEST(limit.current() == 4U);
}

BOOST_AUTO_TEST_CASE(concurrency_limit_never_falls_below_one) {
    for (int n = 0; n < 1000; ++n) {
        now += std::chrono::seconds{1};
        limit.completed({unloaded * 100, unloaded, 1, 1 <= limit.low_load_limit(), now});
    }
    BOOST_TEST(limit.current() == 1U);
}

BOOST_AUTO_TEST_CASE(concurrency_limit_when_fixed_does_not_change) {
    limit = policy::make_fixed_limit(5);
    complete_calls(100, 1);
    BOOST_TEST(limit.current() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
