#include "metrics/registry.h"

#include <cmath>

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "common/random.h"

namespace jujubemast::tests {

struct registry_fixture {
    metrics::registry registry;
};

BOOST_FIXTURE_TEST_SUITE(registry_test, registry_fixture)

BOOST_AUTO_TEST_CASE(registry_when_printed_follows_the_text_format) {
    registry.add_counter("requests_total", "Requests.", {{"priority", "urgent"}}).add(3);
    registry.add_counter("requests_total", "Requests.", {{"priority", "standard"}}).add();
    registry.add_gauge("queued", "Waiting work.").set(2.5);
    BOOST_TEST(registry.text() == "# HELP queued Waiting work.\n"
                                  "# TYPE queued gauge\n"
                                  "queued 2.5\n"
                                  "# HELP requests_total Requests.\n"
                                  "# TYPE requests_total counter\n"
                                  "requests_total{priority=\"standard\"} 1\n"
                                  "requests_total{priority=\"urgent\"} 3\n");
}

BOOST_AUTO_TEST_CASE(registry_when_series_exists_returns_it_again) {
    registry.add_counter("n", "N.", {{"a", "b"}}).add(2);
    registry.add_counter("n", "N.", {{"a", "b"}}).add(2);
    BOOST_TEST(registry.add_counter("n", "N.", {{"a", "b"}}).value() == 4U);
    BOOST_CHECK_THROW(registry.add_gauge("n", "N."), common::error);
}

// Guards against a workspace or pipeline name that makes the whole metrics page unparseable.
BOOST_AUTO_TEST_CASE(registry_when_label_has_quotes_escapes_them) {
    registry.add_gauge("g", "G.", {{"name", "a\"b\\c\nd"}}).set(1);
    BOOST_TEST(registry.text().find("g{name=\"a\\\"b\\\\c\\nd\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(summary_when_many_values_are_observed_estimates_their_quantiles) {
    auto& summary = registry.add_summary("s", "S.");
    const auto random = common::seeded_random(1);
    for (int n = 0; n < 20000; ++n) {
        summary.observe(static_cast<double>(common::uniform_below(random, 1000)));
    }
    // Uniform over 0 to 999; the estimate is within a few percent.
    BOOST_TEST(std::abs(summary.quantile(0) - 500.0) < 30.0);
    BOOST_TEST(std::abs(summary.quantile(1) - 950.0) < 30.0);
    BOOST_TEST(std::abs(summary.quantile(2) - 990.0) < 15.0);
    BOOST_TEST(summary.count() == 20000U);
}

// Guards against NaN and invalid quantiles while the estimator has too few values.
BOOST_AUTO_TEST_CASE(summary_when_few_values_are_observed_gives_exact_quantiles) {
    auto& summary = registry.add_summary("s", "S.");
    BOOST_TEST(summary.quantile(0) == 0.0);
    for (const double value : {3.0, 1.0, 2.0}) {
        summary.observe(value);
    }
    BOOST_TEST(summary.quantile(0) == 2.0);
    BOOST_TEST(summary.quantile(2) == 3.0);
    for (int n = 4; n <= 12; ++n) {
        summary.observe(n);
        BOOST_TEST((std::isfinite(summary.quantile(2)) && summary.quantile(2) <= n));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
