#include "gateway/stages/estimate_bias.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using std::chrono::milliseconds;

struct estimate_bias_fixture {
    gateway::stages::estimate_bias bias;
    common::time_point now = common::time_point{} + std::chrono::hours{1};

    void record_late_times() {
        for (int n = 0; n < 200; ++n) {
            now += milliseconds{1};
            bias.record(milliseconds{100}, milliseconds{250}, now);
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(estimate_bias_test, estimate_bias_fixture)

BOOST_AUTO_TEST_CASE(estimate_bias_follows_the_observed_ratio) {
    BOOST_TEST((bias.apply(milliseconds{100}, now) == milliseconds{100}));
    record_late_times();
    const auto corrected = bias.apply(milliseconds{100}, now);
    BOOST_TEST((corrected > milliseconds{245}));
    BOOST_TEST((corrected < milliseconds{251}));
}

// Guards against requests of one kind that are refused forever: while all of them are refused, no
// observation corrects the estimate.
BOOST_AUTO_TEST_CASE(estimate_bias_without_observations_returns_to_the_estimate) {
    record_late_times();
    now += std::chrono::seconds{15};
    BOOST_TEST((bias.apply(milliseconds{100}, now) < milliseconds{102}));
}

BOOST_AUTO_TEST_CASE(estimate_bias_after_one_extreme_time_stays_near_the_average) {
    bias.record(milliseconds{100}, std::chrono::seconds{60}, now);
    BOOST_TEST((bias.apply(milliseconds{100}, now) < milliseconds{111}));
    bias.record(milliseconds{0}, std::chrono::seconds{60}, now);
    BOOST_TEST((bias.apply(milliseconds{100}, now) < milliseconds{111}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
