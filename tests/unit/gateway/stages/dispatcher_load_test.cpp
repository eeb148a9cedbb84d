#include <ctime>

#include "unit/gateway/stages/dispatcher_fixture.h"

namespace jujubemast::tests {

/// A dispatcher whose only instance is busy, so that all further pieces wait.
struct dispatcher_load_fixture : dispatcher_fixture {
    std::uint64_t next_number = 1;

    dispatcher_load_fixture() {
        keeps_calls = true;
        auto slow = *update.configuration;
        slow.services["stages"].pieces->call_time = std::chrono::minutes{10};
        update.configuration = std::make_shared<const configuration>(slow);
        inbox->post(update);
        loop.run_ready();
        place_orders(1);
        BOOST_REQUIRE(loop.run_until([this] { return !kept_calls.empty(); }));
    }

    void place_orders(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            piece_order order;
            order.key = {"gateway", next_number++};
            order.service = "stages";
            order.count = 1;
            order.target_time = common::monotonic_clock::now() + std::chrono::hours{1};
            order.deadline = order.target_time + std::chrono::hours{1'000};
            inbox->post(order);
            loop.run_ready();
        }
    }

    void cancel_orders(std::uint64_t first, std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            inbox->post(cancel_order{"stages", {"gateway", first + n}});
            loop.run_ready();
        }
    }

    /// Processor time of this thread.
    static std::chrono::nanoseconds processor_time() {
        timespec now{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        return std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    }

    /// Returns the processor time for placing orders and cancelling them.
    std::chrono::nanoseconds cost_of_orders(std::size_t count) {
        const auto first = next_number;
        const auto begin = processor_time();
        place_orders(count);
        cancel_orders(first, count);
        return processor_time() - begin;
    }
};

BOOST_FIXTURE_TEST_SUITE(dispatcher_load_test, dispatcher_load_fixture)

// Guards against an owner that has no processor time left for its configuration: with each order it
// looked at all that wait, and with thousands waiting it fell behind for good.
BOOST_AUTO_TEST_CASE(order_costs_about_the_same_however_many_wait) {
    constexpr std::size_t orders = 300;
    constexpr std::size_t waiting = 6000;
    constexpr int max_ratio = 3;
    place_orders(orders);
    const auto cost_with_few = cost_of_orders(orders);
    place_orders(waiting);
    const auto cost_with_many = cost_of_orders(orders);
    BOOST_TEST_MESSAGE("ns with few waiting: " << cost_with_few.count()
                                               << ", with many: " << cost_with_many.count());
    BOOST_TEST((cost_with_many < max_ratio * cost_with_few));
    BOOST_TEST(kept_calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
