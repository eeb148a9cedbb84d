#include "gateway/stages/piece_queue.h"

#include <boost/test/unit_test.hpp>

#include "gateway/stages/expected_delay.h"
#include "gateway/stages/result_memory.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct piece_queue_fixture {
    gateway::stages::piece_queue queue;
    gateway::piece_limits limits;
    std::vector<gateway::order_key> expired;
    std::uint64_t next_number = 1;

    piece_queue_fixture() {
        limits.batch = 8;
        limits.call_time = milliseconds{240};
        limits.piece_time = milliseconds{20};
        limits.result_memory_bytes = 1000;
    }

    static common::time_point at(int ms) { return common::time_point{milliseconds{ms}}; }

    std::uint64_t push(int priority, int target_ms, std::uint32_t count = 1,
                       int deadline_ms = 100'000) {
        gateway::piece_order order;
        order.key = {"g", next_number++};
        order.priority = priority;
        order.target_time = at(target_ms);
        order.deadline = at(deadline_ms);
        for (std::uint32_t n = 0; n < count; ++n) {
            queue.push(order, n);
        }
        return order.key.number;
    }

    std::vector<std::uint64_t> take(std::size_t max_count, int now_ms = 0) {
        std::vector<std::uint64_t> numbers;
        const auto all = [](const gateway::order_key&) { return true; };
        gateway::stages::call_room room{max_count};
        for (const auto& it : queue.take(room, at(now_ms), milliseconds{260}, all, expired)) {
            numbers.push_back(it.order.number);
        }
        return numbers;
    }
};

BOOST_FIXTURE_TEST_SUITE(piece_queue_test, piece_queue_fixture)

BOOST_AUTO_TEST_CASE(piece_queue_serves_priority_then_earliest_target) {
    push(1, 1000);
    push(0, 3000);
    push(0, 2000);
    BOOST_TEST(take(3) == (std::vector<std::uint64_t>{3, 2, 1}), boost::test_tools::per_element());
}

// Guards against a burst in which every request is slightly late.
BOOST_AUTO_TEST_CASE(piece_queue_with_a_missed_target_serves_it_last_in_its_priority) {
    push(0, 100);
    push(0, 3000);
    push(1, 3000);
    BOOST_TEST(take(3) == (std::vector<std::uint64_t>{2, 1, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(piece_queue_with_expired_pieces_reports_their_order) {
    push(0, 50, 2, 200);
    push(0, 3000);
    BOOST_TEST(take(4) == (std::vector<std::uint64_t>{2}), boost::test_tools::per_element());
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired[0].number == 1U);
    BOOST_TEST(queue.size() == 0U);
}

// Guards against results that occupy memory while the other results of their order are not made.
BOOST_AUTO_TEST_CASE(piece_queue_with_an_order_that_does_not_fit_skips_it) {
    push(0, 1000, 3);
    push(0, 2000, 3);
    push(0, 3000, 1);
    BOOST_TEST(take(4) == (std::vector<std::uint64_t>{1, 1, 1, 3}),
               boost::test_tools::per_element());
    BOOST_TEST(queue.size() == 3U);
}

// Guards against an order that is larger than a call and would never be made.
BOOST_AUTO_TEST_CASE(piece_queue_with_an_order_larger_than_a_call_splits_it) {
    push(0, 1000, 5);
    BOOST_TEST(take(4).size() == 4U);
    BOOST_TEST(take(4).size() == 1U);
}

// Guards against a use of erased pieces when late orders are next to orders that are taken at once:
// the end of a late order must be looked up when it is taken, or the loop does not end.
BOOST_AUTO_TEST_CASE(piece_queue_with_late_orders_before_taken_ones_ends) {
    for (int n = 0; n < 40; ++n) {
        push(n % 3, n % 2 == 0 ? 10 : 5000, 1 + static_cast<std::uint32_t>(n % 4));
    }
    std::size_t taken = 0;
    while (queue.size() > 0) {
        const auto n = take(8).size();
        BOOST_REQUIRE(n > 0U);
        taken += n;
    }
    BOOST_TEST(taken == 100U);
}

BOOST_AUTO_TEST_CASE(piece_queue_with_pieces_for_another_domain_leaves_them) {
    push(0, 1000);
    push(0, 2000);
    gateway::stages::call_room room{8};
    const auto taken = queue.take(
        room, at(0), milliseconds{260}, [](const gateway::order_key& it) { return it.number != 1; },
        expired);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].order.number == 2U);
}

BOOST_AUTO_TEST_CASE(expected_delay_grows_with_the_pieces_ahead_of_the_same_priority) {
    const gateway::service_backlog idle{"s", {}, 2, 0};
    const gateway::stages::new_pieces added{0, seconds{1}, 1};
    BOOST_TEST((gateway::stages::expected_delay(limits, idle, added) == milliseconds{260}));
    // The pieces are nearer to their target than the new one.
    const gateway::service_backlog busy{"s", {{0, 1, 16}, {1, 1, 100}}, 2, 2};
    // Half a full call until an instance is free, one full call ahead, and the own call.
    BOOST_TEST(
        (gateway::stages::expected_delay(limits, busy, added) == milliseconds{200 + 400 + 260}));
    // After two full calls no piece is ahead any more.
    const gateway::stages::new_pieces later{0, seconds{1}, 1, milliseconds{800}};
    BOOST_TEST((gateway::stages::expected_delay(limits, busy, later) == milliseconds{200 + 260}));
}

// Guards against admission that counts on the full rate of instances that fail some of their calls.
BOOST_AUTO_TEST_CASE(expected_delay_grows_with_the_calls_that_fail) {
    const gateway::service_backlog failing{"s", {{0, 1, 16}}, 2, 2, 0.5};
    BOOST_TEST((gateway::stages::expected_delay(limits, failing, {0, seconds{1}, 1}) ==
                milliseconds{200 + 800 + 260}));
}

// Guards against estimates that count pieces which the queue serves later: urgent requests are
// refused during a flood of others that have more time.
BOOST_AUTO_TEST_CASE(pieces_ahead_are_those_with_an_earlier_target) {
    push(1, 1500, 3);
    push(1, 3000, 5);
    push(1, 9000, 7);
    push(0, 9000, 2);
    push(2, 100, 4);
    push(1, -1, 6);
    const gateway::service_backlog backlog{"s", queue.backlog(at(0)), 1};
    const auto ahead = [&](common::duration slack) {
        return gateway::stages::pieces_ahead_by_target(backlog, {1, slack, 1}, milliseconds{0});
    };
    BOOST_TEST(ahead(seconds{1}) == 2.0);
    BOOST_TEST(ahead(milliseconds{1500}) == 2 + 1.5);
    BOOST_TEST(ahead(seconds{2}) == 2.0 + 3);
    BOOST_TEST(ahead(seconds{4}) == 2.0 + 3 + 5);
    BOOST_TEST(ahead(seconds{20}) == 2.0 + 3 + 5 + 7);
    // A late piece comes after all others of its priority.
    BOOST_TEST(ahead(milliseconds{-1}) == 2.0 + 3 + 5 + 7 + 6);
    BOOST_TEST(gateway::stages::pieces_ahead_by_priority(backlog, {1, seconds{1}, 1}, seconds{1}) ==
               23.0);
}

// Guards against estimates that leave out the pieces that are ordered later and served earlier.
BOOST_AUTO_TEST_CASE(expected_delay_grows_with_the_pieces_that_overtake) {
    // 40 pieces a second; the instances make 2 * 8 pieces in 400 ms, the same rate.
    const gateway::service_backlog backlog{"s", {{1, 1, 0, 20}, {1, 4, 16}}, 2};
    const auto delay = [&](common::duration slack) {
        return gateway::stages::expected_delay(limits, backlog, {1, slack, 1}) - milliseconds{260};
    };
    // No later piece has an earlier target.
    BOOST_TEST((delay(milliseconds{100}) == milliseconds{0}));
    // Half of the rate is taken by pieces with less slack, so the wait for 16 pieces doubles.
    BOOST_TEST((delay(seconds{4}) > milliseconds{790}));
    BOOST_TEST((delay(seconds{4}) <= milliseconds{800}));
}

BOOST_AUTO_TEST_CASE(expected_delay_of_a_late_piece_is_bounded_if_more_is_ordered_than_made) {
    const gateway::service_backlog backlog{"s", {{1, 1, 10, 100}}, 2};
    BOOST_TEST((gateway::stages::expected_delay(limits, backlog, {1, milliseconds{-1}, 1}) >=
                seconds{20}));
    BOOST_TEST((gateway::stages::expected_delay(limits, backlog, {1, milliseconds{-1}, 1}) <=
                gateway::stages::max_expected_delay));
}

BOOST_AUTO_TEST_CASE(piece_queue_reports_the_rate_of_orders) {
    gateway::piece_order order;
    order.priority = 1;
    order.count = 4;
    for (int n = 0; n < 100; ++n) {
        order.target_time = at(n * 100 + 1500);
        queue.record_order(order, at(n * 100));
    }
    const auto backlog = queue.backlog(at(10'000));
    BOOST_REQUIRE(backlog.size() == 1U);
    BOOST_TEST(backlog[0].range == 3U);
    BOOST_TEST(backlog[0].ordered_per_s > 35);
    BOOST_TEST(backlog[0].ordered_per_s < 45);
    BOOST_TEST(queue.backlog(at(30'000)).empty());
}

BOOST_AUTO_TEST_CASE(sustained_limits_with_large_results_bound_the_batch) {
    BOOST_TEST(gateway::stages::sustained_limits(limits, 100).batch == 5U);
    BOOST_TEST(gateway::stages::sustained_limits(limits, 1).batch == 8U);
    BOOST_TEST(gateway::stages::sustained_limits(limits, 5000).batch == 1U);
}

BOOST_AUTO_TEST_CASE(result_memory_counts_results_until_release_or_expiry) {
    gateway::stages::result_memory memory;
    memory.reserve(300);
    BOOST_TEST(memory.used(at(0)) == 300.0);
    memory.unreserve(300);
    memory.keep("a", 100, at(4000));
    memory.keep("b", 100, at(2000));
    BOOST_TEST(memory.used(at(1000)) == 200.0);
    BOOST_TEST(memory.used(at(3000)) == 100.0);
    BOOST_TEST(memory.release("a"));
    BOOST_TEST(!memory.release("a"));
    BOOST_TEST(memory.used(at(3000)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
