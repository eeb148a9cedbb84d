#include "policy/outlier_detector.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;

struct outlier_detector_fixture {
    outlier_detector detector;
    common::time_point now{};

    outlier_detector_fixture() {
        for (const auto* name : {"a", "b", "c", "d", "e"}) {
            detector.add_member(name);
        }
    }

    void fail(const std::string& name, int times) {
        for (int n = 0; n < times; ++n) {
            detector.record_failure(name, now);
        }
    }

    void succeed(const std::string& name, int milliseconds, int times = 10) {
        for (int n = 0; n < times; ++n) {
            detector.record_success(name, std::chrono::milliseconds{milliseconds}, now);
        }
    }

    /// Ejects the upstream, waits for the end of the ejection and sends the probe.
    void send_probe(const std::string& name) {
        fail(name, 3);
        now += std::chrono::seconds{3};
        BOOST_TEST((detector.state(name, now) == rotation_state::probing));
        detector.record_dispatch(name, now);
        BOOST_TEST((detector.state(name, now) == rotation_state::ejected));
    }
};

BOOST_FIXTURE_TEST_SUITE(outlier_detector_test, outlier_detector_fixture)

BOOST_AUTO_TEST_CASE(outlier_detector_after_consecutive_failures_ejects) {
    fail("a", 2);
    BOOST_TEST((detector.state("a", now) == rotation_state::in_rotation));
    fail("a", 1);
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
}

BOOST_AUTO_TEST_CASE(outlier_detector_without_a_probe_for_long_wants_one_from_any_work) {
    fail("a", 3);
    now += std::chrono::seconds{2};
    BOOST_TEST((detector.state("a", now) == rotation_state::probing));
    BOOST_TEST(!detector.is_probe_overdue("a", now));
    BOOST_TEST(detector.is_probe_overdue("a", now + std::chrono::seconds{2}));
    detector.record_dispatch("a", now);
    BOOST_TEST(!detector.is_probe_overdue("a", now));
}

// Guards against an upstream that is ejected although it completes nearly as many calls as without
// the refusals.
BOOST_AUTO_TEST_CASE(outlier_detector_with_calls_that_fail_at_once_keeps_the_upstream) {
    for (int n = 0; n < 100; ++n) {
        detector.record_call("a", false, std::chrono::milliseconds{20}, now);
        detector.record_call("a", n % 2 == 0, std::chrono::milliseconds{n % 2 == 0 ? 300 : 20},
                             now);
    }
    BOOST_TEST((detector.state("a", now) == rotation_state::in_rotation));
    BOOST_TEST(detector.goodput("a") > 0.75);
    BOOST_TEST(detector.goodput("b") == 1.0);
}

BOOST_AUTO_TEST_CASE(outlier_detector_whose_call_time_is_lost_ejects_until_a_probe_completes) {
    detector.record_call("a", false, std::chrono::milliseconds{1500}, now);
    BOOST_TEST((detector.state("a", now) == rotation_state::in_rotation));
    detector.record_call("a", false, std::chrono::milliseconds{1500}, now);
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
    now += std::chrono::seconds{3};
    BOOST_TEST((detector.state("a", now) == rotation_state::probing));
    detector.record_dispatch("a", now);
    detector.record_call("a", false, std::chrono::milliseconds{1}, now);
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
    now += std::chrono::seconds{5};
    BOOST_TEST((detector.state("a", now) == rotation_state::probing));
    detector.record_dispatch("a", now);
    detector.record_call("a", true, std::chrono::milliseconds{300}, now);
    succeed("a", 10, 1);
    BOOST_TEST((detector.state("a", now) == rotation_state::in_rotation));
    BOOST_TEST(detector.goodput("a") == 1.0);
}

BOOST_AUTO_TEST_CASE(outlier_detector_when_upstream_is_much_slower_than_its_pool_ejects) {
    for (const auto* name : {"b", "c", "d", "e"}) {
        succeed(name, 10);
    }
    succeed("a", 100);
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
    BOOST_TEST((detector.state("b", now) == rotation_state::in_rotation));
}

// Guards against ejecting the whole pool when all upstreams fail.
BOOST_AUTO_TEST_CASE(outlier_detector_when_many_fail_keeps_most_of_the_pool) {
    int ejected = 0;
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        fail(name, 10);
        ejected += detector.state(name, now) == rotation_state::ejected ? 1 : 0;
    }
    BOOST_TEST(ejected == 2);
}

// Guards against full load on an upstream that has not been shown to work again.
BOOST_AUTO_TEST_CASE(outlier_detector_when_ejection_is_over_sends_one_probe) {
    send_probe("a");
    succeed("a", 10, 1);
    BOOST_TEST((detector.state("a", now) == rotation_state::in_rotation));
}

BOOST_AUTO_TEST_CASE(outlier_detector_when_probe_fails_ejects_for_longer) {
    send_probe("a");
    fail("a", 1);
    now += std::chrono::seconds{3};
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
    now += std::chrono::seconds{2};
    BOOST_TEST((detector.state("a", now) == rotation_state::probing));
}

// Guards against an upstream that stays ejected forever because its probe was never answered.
BOOST_AUTO_TEST_CASE(outlier_detector_when_probe_gets_no_answer_probes_again_later) {
    send_probe("a");
    now += std::chrono::seconds{3};
    BOOST_TEST((detector.state("a", now) == rotation_state::ejected));
    now += std::chrono::seconds{60};
    BOOST_TEST((detector.state("a", now) == rotation_state::probing));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
