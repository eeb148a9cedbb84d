#include "gateway/instances/pause_guard.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A guard of a task that has run until now.
struct pause_guard_fixture {
    common::time_point now{seconds{100}};
    pause_guard subject;

    pause_guard_fixture() { BOOST_TEST(subject.allows_work(now)); }

    void pause(common::duration time) { now += time; }
};

BOOST_FIXTURE_TEST_SUITE(pause_guard_test, pause_guard_fixture)

BOOST_AUTO_TEST_CASE(task_that_runs_all_the_time_may_send_work) {
    for (int n = 0; n < 100; ++n) {
        pause(pause_guard::tick);
        BOOST_TEST(subject.allows_work(now));
    }
}

// Guards against requests that have arrived while the process was frozen, and go to a domain that
// was drained meanwhile.
BOOST_AUTO_TEST_CASE(work_after_a_pause_is_held_until_the_drains_are_confirmed) {
    pause(seconds{8});
    BOOST_TEST(!subject.allows_work(now));
    // A response that had arrived before the pause.
    BOOST_TEST(!subject.record_confirmed(now - seconds{7}));
    BOOST_TEST(!subject.allows_work(now + milliseconds{1}));
    BOOST_TEST(subject.record_confirmed(now + milliseconds{5}));
    BOOST_TEST(subject.allows_work(now + milliseconds{6}));
}

// Guards against a gateway that sends nothing after a pause as long as the store is unavailable.
BOOST_AUTO_TEST_CASE(work_after_a_pause_is_not_held_for_ever) {
    pause(seconds{8});
    const auto resumed = now;
    BOOST_TEST(!subject.allows_work(now));
    while (!subject.end_hold_if_due(now)) {
        pause(pause_guard::tick);
    }
    BOOST_TEST(subject.allows_work(now));
    BOOST_TEST((now - resumed <= pause_guard_limits{}.max_hold + pause_guard::tick));
}

// Guards against a hold that the confirmation does not end, because another task has asked the
// store just before this one noticed the pause.
BOOST_AUTO_TEST_CASE(confirmation_that_was_requested_first_after_the_pause_ends_the_hold) {
    pause(seconds{8});
    const auto asked = now;
    pause(milliseconds{20});
    BOOST_TEST(!subject.allows_work(now));
    BOOST_TEST(subject.record_confirmed(asked));
    BOOST_TEST(subject.allows_work(now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
