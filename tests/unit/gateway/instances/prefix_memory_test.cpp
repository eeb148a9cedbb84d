#include "gateway/instances/prefix_memory.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::seconds;

struct prefix_memory_fixture {
    prefix_memory subject;
    common::time_point now{seconds{100}};
};

BOOST_FIXTURE_TEST_SUITE(prefix_memory_test, prefix_memory_fixture)

BOOST_AUTO_TEST_CASE(prefix_is_held_by_the_instances_that_got_it_until_the_retention_ends) {
    subject.record(1, 10, now);
    subject.record(1, 11, now + seconds{30});
    BOOST_TEST(subject.holds(1, 10, now + seconds{59}));
    BOOST_TEST(!subject.holds(1, 10, now + seconds{60}));
    BOOST_TEST(subject.holds(1, 11, now + seconds{60}));
    BOOST_TEST(!subject.holds(2, 10, now));
}

BOOST_AUTO_TEST_CASE(uses_of_a_prefix_count_less_with_time) {
    for (int n = 0; n < 5; ++n) {
        subject.record(1, 10, now);
    }
    BOOST_TEST(subject.uses(1, now) == 5);
    BOOST_TEST(subject.uses(1, now + seconds{120}) < 1);
    BOOST_TEST(subject.uses(2, now) == 0);
}

// Guards against memory that grows with prompts that are never repeated.
BOOST_AUTO_TEST_CASE(memory_when_full_forgets_the_oldest_prefix) {
    for (std::uint64_t n = 0; n <= prefix_memory::max_prefixes; ++n) {
        subject.record(n, 10, now + std::chrono::milliseconds{n});
    }
    BOOST_TEST(subject.size() == prefix_memory::max_prefixes);
    BOOST_TEST(subject.uses(0, now + seconds{2}) == 0);
    BOOST_TEST(subject.uses(1, now + seconds{2}) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
