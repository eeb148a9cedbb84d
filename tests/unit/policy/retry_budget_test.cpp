#include "policy/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct retry_budget_fixture {
    retry_budget budget;
    common::time_point now = common::time_point{} + std::chrono::hours{1};
};

BOOST_FIXTURE_TEST_SUITE(retry_budget_test, retry_budget_fixture)

// Guards against a retry storm: a pool where every request fails must not get twice the load.
BOOST_AUTO_TEST_CASE(retry_budget_when_everything_fails_allows_a_tenth_and_the_reserve) {
    int extra = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.record_first_attempt();
        extra += budget.try_acquire(now) ? 1 : 0;
    }
    BOOST_TEST(extra <= 103);
    BOOST_TEST(extra >= 100);
}

BOOST_AUTO_TEST_CASE(retry_budget_without_traffic_refills_its_reserve) {
    while (budget.try_acquire(now)) {
    }
    now += std::chrono::seconds{10};
    BOOST_TEST(budget.try_acquire(now));
}

BOOST_AUTO_TEST_CASE(retry_backoff_when_attempts_grow_doubles_within_the_jitter) {
    const common::duration base = std::chrono::milliseconds{10};
    BOOST_TEST((retry_backoff(base, 0, 0.0) == base / 2));
    BOOST_TEST((retry_backoff(base, 2, 0.0) == base * 2));
    BOOST_TEST((retry_backoff(base, 2, 1.0) == base * 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
