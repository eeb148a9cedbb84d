#include "gateway/store/outage_detector.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::store::outage_detector;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct outage_detector_fixture {
    outage_detector detector;
    common::time_point start{seconds{100}};

    /// Records a response that takes no time.
    std::optional<common::duration> respond(common::duration after_start) {
        return detector.record_available(start + after_start, start + after_start);
    }
};

BOOST_FIXTURE_TEST_SUITE(outage_detector_test, outage_detector_fixture)

BOOST_AUTO_TEST_CASE(detector_without_a_failure_reports_no_outage) {
    BOOST_TEST(!respond(seconds{0}));
    BOOST_TEST(!respond(seconds{60}));
}

BOOST_AUTO_TEST_CASE(outage_lasts_from_the_last_response_to_the_next_one) {
    respond(seconds{0});
    BOOST_TEST(detector.record_failure(start + seconds{1}));
    BOOST_TEST(!detector.record_failure(start + seconds{2}));
    const auto unseen = respond(seconds{5});
    BOOST_REQUIRE(unseen.has_value());
    BOOST_TEST((*unseen == seconds{5}));
    BOOST_TEST(!respond(seconds{6}));
}

// Guards against a gateway whose own calls fail and that takes this for an outage, although the
// others still read the store.
BOOST_AUTO_TEST_CASE(outage_of_one_gateway_ends_with_what_another_one_has_read) {
    respond(seconds{0});
    detector.record_failure(start + seconds{1});
    for (int n = 0; n < 10; ++n) {
        respond(milliseconds{1500} + n * milliseconds{400});
        detector.record_failure(start + milliseconds{1600} + n * milliseconds{400});
    }
    const auto unseen = respond(seconds{6});
    BOOST_REQUIRE(unseen.has_value());
    BOOST_TEST((*unseen < seconds{1}));
}

// Guards against an outage that ends too early: another gateway passes on what it has read before.
BOOST_AUTO_TEST_CASE(response_from_before_the_failed_call_does_not_end_the_outage) {
    respond(seconds{0});
    detector.record_failure(start + seconds{2});
    BOOST_TEST(!detector.record_available(start + seconds{1}, start + seconds{3}));
    const auto unseen = respond(seconds{9});
    BOOST_REQUIRE(unseen.has_value());
    BOOST_TEST((*unseen == seconds{8}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
