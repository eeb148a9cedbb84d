#include "gateway/instances/send_window.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;

struct send_window_fixture {
    common::time_point now{std::chrono::seconds{100}};
    send_window subject;
};

BOOST_FIXTURE_TEST_SUITE(send_window_test, send_window_fixture)

BOOST_AUTO_TEST_CASE(window_without_permits_never_allows_a_request) {
    BOOST_TEST(!subject.next_send(0, now).has_value());
}

BOOST_AUTO_TEST_CASE(window_with_free_permits_allows_a_request_at_once) {
    subject.record(now);
    BOOST_TEST((subject.next_send(2, now) == now));
}

// Guards against twice the permits around the end of a fixed interval.
BOOST_AUTO_TEST_CASE(window_that_is_full_allows_a_request_one_window_after_the_oldest) {
    subject.record(now);
    subject.record(now + milliseconds{900});
    const auto next = now + send_window::length;
    BOOST_TEST((subject.next_send(2, now + milliseconds{950}) == next));
    subject.record(next);
    BOOST_TEST((subject.next_send(2, next) == next + milliseconds{900}));
}

// Guards against permits that are used again when their number has fallen.
BOOST_AUTO_TEST_CASE(window_with_more_requests_than_permits_waits_until_enough_have_left) {
    for (int n = 0; n < 4; ++n) {
        subject.record(now + milliseconds{100 * n});
    }
    BOOST_TEST((subject.next_send(1, now + milliseconds{300}) ==
                now + milliseconds{300} + send_window::length));
    BOOST_TEST(subject.count(now + milliseconds{300}) == 4U);
    BOOST_TEST(subject.count(now + milliseconds{100} + send_window::length) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
