#include "policy/quantile_estimate.h"

#include <boost/test/unit_test.hpp>

#include "common/random.h"

namespace jujubemast::tests {

struct quantile_estimate_fixture {
    common::random_hook random = common::seeded_random(3);
    policy::quantile_estimate estimate{0.95};

    void add_uniform(int samples, std::uint64_t bound) {
        for (int n = 0; n < samples; ++n) {
            estimate.add(static_cast<double>(common::uniform_below(random, bound)));
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(quantile_estimate_test, quantile_estimate_fixture)

BOOST_AUTO_TEST_CASE(quantile_estimate_when_samples_are_uniform_approaches_the_quantile) {
    add_uniform(20000, 1000);
    BOOST_TEST(estimate.value() > 850);
    BOOST_TEST(estimate.value() < 1000);
}

// Guards against an estimate that does not adapt to a change of the latency.
BOOST_AUTO_TEST_CASE(quantile_estimate_when_the_distribution_changes_follows_it) {
    add_uniform(20000, 1000);
    add_uniform(5000, 100);
    BOOST_TEST(estimate.value() < 150);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
