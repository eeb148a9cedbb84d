#include "gateway/instances/waiting_requests.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using std::chrono::seconds;

struct waiting_requests_fixture {
    gateway::instances::waiting_requests subject;
    common::time_point now{seconds{100}};
};

BOOST_FIXTURE_TEST_SUITE(waiting_requests_test, waiting_requests_fixture)

// Guards against urgent requests that wait behind others that arrived before them.
BOOST_AUTO_TEST_CASE(requests_that_wait_are_served_by_priority_then_by_arrival) {
    subject.push(1, 2, now);
    subject.push(2, 0, now + seconds{2});
    subject.push(3, 0, now + seconds{1});
    BOOST_TEST(*subject.front() == 3U);
    subject.remove(3);
    BOOST_TEST(*subject.front() == 2U);
    subject.remove(2);
    BOOST_TEST(*subject.front() == 1U);
    subject.remove(1);
    BOOST_TEST(!subject.front());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
