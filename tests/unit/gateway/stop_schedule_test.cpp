#include "gateway/stop_schedule.h"

#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "gateway/gateway_settings.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace std::chrono_literals;

struct stop_schedule_fixture {
    settings::values values;

    stop_schedule_fixture() { values.set(gateway_settings::termination_grace, 8.0); }
};

BOOST_FIXTURE_TEST_SUITE(stop_schedule_test, stop_schedule_fixture)

// Guards against a gateway that is killed in its stop, or cuts requests long before, because the
// platform's grace differs from the one that the defaults were made for.
BOOST_AUTO_TEST_CASE(stop_uses_nearly_the_whole_grace_and_ends_within_it) {
    for (const auto grace : {1000ms, 2500ms, 4000ms, 8000ms, 12500ms, 30000ms, 300000ms}) {
        const auto schedule = make_stop_schedule(grace, 2800ms);
        const common::duration end =
            schedule.limit + schedule.unregister + schedule.acknowledgement;
        BOOST_TEST((end < grace));
        BOOST_TEST((schedule.limit > grace * 5 / 6));
        BOOST_TEST((schedule.accept < schedule.limit));
        BOOST_TEST((schedule.accept <= 2800ms));
        BOOST_TEST((schedule.unregister > 0ms));
    }
}

BOOST_AUTO_TEST_CASE(grace_with_a_fraction_is_taken_as_it_is) {
    values.set(gateway_settings::termination_grace, 8.5);
    BOOST_TEST((make_stop_schedule(values).limit == 7400ms));
}

BOOST_AUTO_TEST_CASE(limit_in_the_settings_goes_before_the_derived_one) {
    values.set(gateway_settings::callers_stop_limit, 3000ms);
    const auto schedule = make_stop_schedule(values);
    BOOST_TEST((schedule.limit == 3000ms));
    BOOST_TEST((schedule.accept == 2800ms));
}

// Guards against settings with which the platform kills the gateway in every stop.
BOOST_AUTO_TEST_CASE(limit_that_does_not_fit_into_the_grace_is_refused) {
    values.set(gateway_settings::callers_stop_limit, 6900ms);
    BOOST_CHECK_NO_THROW(make_stop_schedule(values));
    values.set(gateway_settings::callers_stop_limit, 7000ms);
    BOOST_CHECK_THROW(make_stop_schedule(values), common::settings_error);
}

BOOST_AUTO_TEST_CASE(connections_accepted_beyond_the_limit_are_refused) {
    values.set(gateway_settings::callers_stop_limit, 2000ms);
    BOOST_CHECK_THROW(make_stop_schedule(values), common::settings_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
