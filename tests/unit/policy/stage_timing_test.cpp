#include "policy/stage_timing.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using std::chrono::milliseconds;

struct stage_timing_fixture {
    /// The factor is set explicitly so that the checks do not depend on the default.
    policy::stage_timing timing{{.hedge_factor = 1.5}};

    void record_responses(const std::string& pipeline, int milliseconds_each, int times) {
        for (int n = 0; n < times; ++n) {
            timing.record_response(pipeline, 0, milliseconds{milliseconds_each});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(stage_timing_test, stage_timing_fixture)

BOOST_AUTO_TEST_CASE(stage_timing_with_few_samples_gives_no_hedge_delay) {
    record_responses("draft", 100, 10);
    BOOST_TEST(!timing.hedge_delay("draft", 0).has_value());
}

// Guards against hedges for background work that only waits in a queue.
BOOST_AUTO_TEST_CASE(stage_timing_when_pipelines_differ_keeps_them_apart) {
    record_responses("voice", 50, 100);
    record_responses("tag", 2000, 100);
    BOOST_TEST((timing.hedge_delay("voice", 0).value() < milliseconds{100}));
    BOOST_TEST((timing.hedge_delay("tag", 0).value() > milliseconds{2000}));
}

// Guards against refusing feasible requests after a few results of one slow upstream.
BOOST_AUTO_TEST_CASE(stage_timing_when_one_result_in_ten_is_slow_expects_the_typical_time) {
    for (int n = 0; n < 500; ++n) {
        timing.record_service("draft", 0, milliseconds{n % 10 == 0 ? 3000 : 300});
    }
    BOOST_TEST((timing.expected_service("draft", 0) < milliseconds{450}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
