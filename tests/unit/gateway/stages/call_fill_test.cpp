#include "gateway/stages/call_fill.h"

#include <boost/test/unit_test.hpp>

#include "gateway/stages/piece_queue.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::stages;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A queue with pieces whose results have different sizes, and an instance with 1,000 bytes.
struct call_fill_fixture {
    piece_queue queue;
    call_room room{20, 1000};
    call_fill_hook fill = fill_with_fitting;
    std::uint64_t next_number = 1;

    void push(int priority, double result_bytes, std::uint32_t count = 1) {
        gateway::piece_order order;
        order.key = {"g", next_number};
        order.priority = priority;
        order.result_bytes = result_bytes;
        order.target_time = common::time_point{seconds{100} + milliseconds{next_number++}};
        order.deadline = order.target_time + seconds{10};
        for (std::uint32_t n = 0; n < count; ++n) {
            queue.push(order, n);
        }
    }

    /// Returns the numbers of the orders of the pieces that a call takes.
    std::vector<std::uint64_t> take() {
        std::vector<gateway::order_key> expired;
        std::vector<std::uint64_t> numbers;
        const auto all = [](const gateway::order_key&) { return true; };
        for (const auto& it :
             queue.take(room, common::time_point{}, milliseconds{260}, all, expired, fill)) {
            numbers.push_back(it.order.number);
        }
        return numbers;
    }
};

BOOST_FIXTURE_TEST_SUITE(call_fill_test, call_fill_fixture)

// Guards against an idle instance: one large result that does not fit kept all pieces behind it
// waiting, although their results fit.
BOOST_AUTO_TEST_CASE(call_with_a_piece_that_does_not_fit_takes_smaller_ones_behind_it) {
    const auto push_all = [&] {
        push(0, 1200);
        push(0, 10, 3);
    };
    push_all();
    BOOST_TEST(take() == (std::vector<std::uint64_t>{2, 2, 2}), boost::test_tools::per_element());
    BOOST_TEST(room.lacks_memory);
    BOOST_TEST(queue.size() == 1U);
    queue = {};
    push_all();
    room = {20, 1000};
    fill = fill_until_misfit;
    BOOST_TEST(take().empty());
}

// Guards against a call that is full of pieces which do not fit before the smaller ones are
// considered.
BOOST_AUTO_TEST_CASE(call_with_more_pieces_that_do_not_fit_than_its_size_takes_smaller_ones) {
    for (int n = 0; n < 30; ++n) {
        push(0, 800);
    }
    push(0, 8, 5);
    const auto taken = take();
    BOOST_TEST(taken.size() == 6U);
    BOOST_TEST(queue.size() == 29U);
}

// Guards against a large result that never fits because smaller and less urgent ones behind it
// take the memory as it becomes free.
BOOST_AUTO_TEST_CASE(call_with_a_piece_that_does_not_fit_leaves_most_of_its_memory_free) {
    push(0, 1200);
    push(1, 100, 20);
    BOOST_TEST(take().size() == 3U);
    BOOST_TEST(room.bytes == 700);
}

BOOST_AUTO_TEST_CASE(call_whose_results_fit_takes_all_its_pieces_under_both_policies) {
    for (const auto& policy :
         {call_fill_hook{fill_with_fitting}, call_fill_hook{fill_until_misfit}}) {
        queue = {};
        fill = policy;
        room = {20, 1000};
        push(0, 50, 6);
        push(0, 50, 13);
        push(0, 50, 1);
        BOOST_TEST(take().size() == 20U);
        BOOST_TEST(!room.lacks_memory);
        BOOST_TEST(room.bytes == 0);
    }
}

// Guards against memory that is in use beyond the configured size, for example by results of a
// previous owner.
BOOST_AUTO_TEST_CASE(call_without_free_memory_takes_nothing) {
    room.bytes = -100;
    push(0, 50, 6);
    BOOST_TEST(take().empty());
    BOOST_TEST(room.lacks_memory);
    BOOST_TEST(queue.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
