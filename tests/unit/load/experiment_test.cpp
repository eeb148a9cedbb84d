#include "load/experiment.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "support/experiments.h"

namespace jujubemast::tests {

BOOST_AUTO_TEST_SUITE(experiment_test)

BOOST_AUTO_TEST_CASE(experiment_when_complete_gives_rates_from_the_capacity) {
    const auto parsed = load::parse_experiment(small_experiment(), "small");
    BOOST_TEST(parsed.phases.at(0).rate_per_s == 140.0);
    BOOST_TEST(parsed.phases.at(1).extra_per_s.at("tag") == 2000.0);
    BOOST_TEST(parsed.traffic.size() == 2U);
}

// Guards against a mistyped key that leaves a default value in an experiment unnoticed.
BOOST_AUTO_TEST_CASE(experiment_when_key_is_unknown_names_source_line_and_key) {
    auto text = small_experiment();
    text.replace(text.find("max_tokens"), 10, "max_token_");
    try {
        load::parse_experiment(text, "small");
        BOOST_FAIL("accepted");
    } catch (const common::settings_error& e) {
        const std::string error = e.what();
        BOOST_TEST(error.starts_with("small:"), error);
        BOOST_TEST(error.ends_with("max_token_: unknown key"), error);
    }
}

BOOST_AUTO_TEST_CASE(experiment_when_traffic_names_an_unknown_workspace_is_rejected) {
    auto text = small_experiment();
    text.replace(text.find("large: 20"), 5, "absnt");
    BOOST_CHECK_THROW(load::parse_experiment(text, "small"), common::settings_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
