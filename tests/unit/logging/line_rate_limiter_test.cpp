#include "logging/line_rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::logging;

struct line_rate_limiter_fixture {
    line_rate_limiter limiter{100};
    common::time_point now = common::time_point{} + std::chrono::hours{1};

    int acquire_all(severity level) {
        int taken = 0;
        while (limiter.try_acquire(level, now)) {
            ++taken;
        }
        return taken;
    }
};

BOOST_FIXTURE_TEST_SUITE(line_rate_limiter_test, line_rate_limiter_fixture)

// Guards against a flood of informational lines that suppresses the line of a failure.
BOOST_AUTO_TEST_CASE(line_rate_limiter_when_flooded_with_info_still_writes_warnings_and_errors) {
    BOOST_TEST(acquire_all(severity::info) == 50);
    BOOST_TEST(acquire_all(severity::warn) == 40);
    BOOST_TEST(acquire_all(severity::error) == 10);
}

// Guards against a log volume that grows with the load.
BOOST_AUTO_TEST_CASE(line_rate_limiter_when_flooded_endlessly_keeps_to_its_rate) {
    int taken = 0;
    for (int step = 0; step < 10000; ++step) {
        now += std::chrono::milliseconds{1};
        taken += limiter.try_acquire(severity::error, now) ? 1 : 0;
    }
    BOOST_TEST(taken <= 1100);
    BOOST_TEST(taken >= 1000);
}

// Guards against lines that are dropped without being reported.
BOOST_AUTO_TEST_CASE(line_rate_limiter_when_lines_were_dropped_reports_each_once) {
    BOOST_TEST(!limiter.report_due(now));
    acquire_all(severity::info);
    limiter.try_acquire(severity::info, now);
    limiter.record_dropped(severity::error, 3);
    BOOST_TEST(limiter.report_due(now));
    const auto counts = limiter.take_report(now);
    BOOST_TEST(counts.at(static_cast<std::size_t>(severity::info)) == 2U);
    BOOST_TEST(counts.at(static_cast<std::size_t>(severity::error)) == 3U);
    BOOST_TEST(!limiter.report_due(now + std::chrono::hours{1}));
}

BOOST_AUTO_TEST_CASE(line_rate_limiter_when_lines_are_dropped_continuously_reports_once_a_second) {
    int reports = 0;
    for (int step = 0; step < 5000; ++step) {
        now += std::chrono::milliseconds{1};
        limiter.record_dropped(severity::warn);
        if (limiter.report_due(now)) {
            limiter.take_report(now);
            ++reports;
        }
    }
    BOOST_TEST(reports == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
