#include "gateway/stages/result_memory.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

struct result_memory_fixture {
    gateway::stages::result_memory memory;
    common::time_point now = common::time_point{} + std::chrono::hours{1};
};

BOOST_FIXTURE_TEST_SUITE(result_memory_test, result_memory_fixture)

BOOST_AUTO_TEST_CASE(result_memory_is_freed_on_release_or_expiry) {
    memory.reserve(100);
    memory.keep("a", 10, now + std::chrono::seconds{4});
    memory.keep("b", 20, now + std::chrono::seconds{1});
    BOOST_TEST(memory.used(now) == 130);
    memory.unreserve(100);
    BOOST_TEST(memory.used(now + std::chrono::seconds{2}) == 10);
    BOOST_TEST(memory.release("a"));
    BOOST_TEST(!memory.release("a"));
    BOOST_TEST(memory.used(now) == 0);
}

// Guards against calls for which no memory is left after another gateway used the instance.
BOOST_AUTO_TEST_CASE(result_memory_used_by_others_counts_until_their_results_expire) {
    memory.keep("a", 10, now + std::chrono::seconds{4});
    memory.set_foreign(50, now + std::chrono::seconds{4});
    BOOST_TEST(memory.used(now) == 60);
    BOOST_TEST(memory.used_by_own_calls(now) == 10);
    BOOST_TEST(memory.used(now + std::chrono::seconds{4}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
