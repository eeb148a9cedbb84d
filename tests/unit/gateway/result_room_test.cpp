#include "gateway/result_room.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

struct result_room_fixture {
    gateway::result_room room;
    common::time_point now = common::time_point{} + std::chrono::hours{1};
};

BOOST_FIXTURE_TEST_SUITE(result_room_test, result_room_fixture)

BOOST_AUTO_TEST_CASE(room_of_results_ends_with_their_release_or_their_lifetime) {
    room.reserve(100);
    room.keep("a", 10, now + std::chrono::seconds{4});
    room.keep("b", 20, now + std::chrono::seconds{1});
    BOOST_TEST(room.used(now) == 130);
    room.unreserve(100);
    BOOST_TEST(room.used(now + std::chrono::seconds{2}) == 10);
    BOOST_TEST(room.release("a"));
    BOOST_TEST(!room.release("a"));
    BOOST_TEST(room.used(now) == 0);
}

// Guards against calls that find no room after another gateway used the instance.
BOOST_AUTO_TEST_CASE(room_taken_by_others_counts_until_their_results_have_ended) {
    room.keep("a", 10, now + std::chrono::seconds{4});
    room.set_foreign(50, now + std::chrono::seconds{4});
    BOOST_TEST(room.used(now) == 60);
    BOOST_TEST(room.used_by_own(now) == 10);
    BOOST_TEST(room.used(now + std::chrono::seconds{4}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
