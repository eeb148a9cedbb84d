#include "gateway/requests/stop_admission.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::requests;
using namespace std::chrono_literals;

struct stop_admission_fixture {
    response_times times;
    route talk;

    stop_admission_fixture() {
        talk.name = "talk";
        talk.timeout = 15s;
        talk.latency_target = 3s;
    }

    void record(common::duration taken, int count) {
        for (int n = 0; n < count; ++n) {
            times.record(talk.name, taken);
        }
    }

    [[nodiscard]] bool can_end(common::duration until_sent, common::duration left) const {
        return can_end_before_stop(times, talk, until_sent, left);
    }
};

BOOST_FIXTURE_TEST_SUITE(stop_admission_test, stop_admission_fixture)

// Guards against requests that arrive late in a stop and are sent although they are then cut.
BOOST_AUTO_TEST_CASE(request_whose_route_takes_longer_than_is_left_cannot_end) {
    record(2s, 100);
    BOOST_TEST(!can_end(0s, 1900ms));
    BOOST_TEST(!can_end(500ms, 2400ms));
    BOOST_TEST(!can_end(0s, -1s));
}

// Guards against a stop that refuses requests which would have ended in time.
BOOST_AUTO_TEST_CASE(request_whose_route_is_quick_enough_can_end) {
    record(2s, 100);
    BOOST_TEST(can_end(0s, 2100ms));
    BOOST_TEST(can_end(500ms, 2600ms));
}

// Guards against an estimate that the many short responses of a route hide the long ones from.
BOOST_AUTO_TEST_CASE(estimate_covers_the_long_responses_of_a_route) {
    for (int n = 0; n < 1000; ++n) {
        record(n % 8 == 0 ? 4s : 1s, 1);
    }
    BOOST_TEST(!can_end(0s, 3s));
}

// Guards against a gateway that stops soon after its start and refuses all streams, since none has
// ended yet (two stops of all gateways in a row, oonwala-kutch).
BOOST_AUTO_TEST_CASE(request_of_a_route_without_responses_is_assumed_to_meet_its_target) {
    BOOST_TEST(!can_end(0s, 2900ms));
    BOOST_TEST(can_end(0s, 3s));
    BOOST_TEST(!can_end(1s, 3s));
}

// Guards against memory that grows with every route that has ever been configured.
BOOST_AUTO_TEST_CASE(route_that_leaves_the_configuration_is_forgotten) {
    record(2s, 10);
    configuration current;
    current.routes.push_back(talk);
    times.retain_routes(current);
    BOOST_TEST(times.long_time("talk").has_value());
    times.retain_routes({});
    BOOST_TEST(!times.long_time("talk").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
