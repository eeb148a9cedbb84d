#include "policy/cost_model.h"

#include <boost/test/unit_test.hpp>

#include "common/random.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;

struct cost_model_fixture {
    common::random_hook random = common::seeded_random(3);
    policy::cost_model model;

    double expected_ms(const policy::work_size& size) const {
        return common::to_milliseconds(model.estimate("generate", size).value());
    }

    /// A generation costs 5 ms, 2 ms per 1024 uncached bytes and 0.5 ms per token.
    static double true_ms(const policy::work_size& size) {
        return 5.0 + 2.0 * static_cast<double>(size.input_bytes - size.cached_bytes) / 1024.0 +
               0.5 * static_cast<double>(size.output_tokens);
    }

    policy::work_size random_size() {
        const auto number = random();
        const auto input = 500 + number % 8000;
        return {input, input / (2 + (number >> 16U) % 3), 10 + (number >> 32U) % 200};
    }

    void observe(int count, double factor = 1.0) {
        for (int n = 0; n < count; ++n) {
            const auto size = random_size();
            const double noise = 0.9 + 0.2 * static_cast<double>(random() % 1000) / 1000.0;
            model.observe(
                "generate", size,
                std::chrono::duration_cast<common::duration>(
                    std::chrono::duration<double, std::milli>{true_ms(size) * factor * noise}));
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(cost_model_test, cost_model_fixture)

// Guards against refusals based on an estimate from too few observations.
BOOST_AUTO_TEST_CASE(cost_model_with_few_observations_has_no_estimate) {
    BOOST_TEST(!model.estimate("generate", {}).has_value());
    observe(3);
    BOOST_TEST(!model.estimate("generate", {}).has_value());
    BOOST_TEST(!model.estimate("rerank", {}).has_value());
}

BOOST_AUTO_TEST_CASE(cost_model_learns_terms_for_uncached_input_and_output) {
    observe(400);
    for (const policy::work_size size :
         {policy::work_size{1000, 0, 20}, {8000, 0, 20}, {8000, 4000, 20}, {1000, 0, 180}}) {
        BOOST_TEST(expected_ms(size) == true_ms(size), boost::test_tools::tolerance(0.1));
    }
}

// Guards against a few stalled calls that raise the estimate so much that all work is refused.
BOOST_AUTO_TEST_CASE(cost_model_after_outliers_keeps_its_estimate) {
    observe(200);
    const policy::work_size size{4000, 0, 100};
    for (int n = 0; n < 3; ++n) {
        model.observe("generate", size, std::chrono::seconds{30});
    }
    BOOST_TEST(expected_ms(size) <= 1.5 * true_ms(size));
}

BOOST_AUTO_TEST_CASE(cost_model_when_upstream_slows_down_adapts) {
    observe(200);
    observe(300, 4.0);
    const policy::work_size size{4000, 0, 100};
    BOOST_TEST(expected_ms(size) == 4.0 * true_ms(size), boost::test_tools::tolerance(0.15));
}

// Guards against unbounded slopes while all inputs have one size.
BOOST_AUTO_TEST_CASE(cost_model_with_inputs_of_one_size_estimates_their_mean) {
    const policy::work_size size{1000, 0, 16};
    for (int n = 0; n < 1000; ++n) {
        model.observe("generate", size, milliseconds{20});
    }
    BOOST_TEST(expected_ms(size) == 20.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(expected_ms({1100, 0, 18}) == 20.0, boost::test_tools::tolerance(0.2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
