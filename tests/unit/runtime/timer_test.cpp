#include <memory>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "support/event_loop.h"

namespace jujubemast::tests {

using std::chrono::milliseconds;

/// Two timers that are due in the same iteration of the event loop, as after a pause of the
/// process.
struct timer_fixture {
    event_loop loop;
    std::unique_ptr<runtime::timer> first = std::make_unique<runtime::timer>(loop.executor());
    std::unique_ptr<runtime::timer> second = std::make_unique<runtime::timer>(loop.executor());
    int fired = 0;

    /// Starts both timers; the first one's handler calls the action, which interferes with the
    /// second.
    void run_both(const std::function<void()>& action) {
        first->start(milliseconds{1}, action);
        second->start(milliseconds{2}, [this] { ++fired; });
        std::this_thread::sleep_for(milliseconds{20});
        loop.run_ready();
    }
};

BOOST_FIXTURE_TEST_SUITE(timer_test, timer_fixture)

// Guards against a handler that uses an object which an earlier handler has destroyed: a gateway
// crashed when a call's timeout expired together with the end of the call (soak seed 46).
BOOST_AUTO_TEST_CASE(timer_when_cancelled_after_it_is_due_does_not_fire) {
    run_both([this] { second->cancel(); });
    BOOST_TEST(fired == 0);
}

BOOST_AUTO_TEST_CASE(timer_when_destroyed_after_it_is_due_does_not_fire) {
    run_both([this] { second.reset(); });
    BOOST_TEST(fired == 0);
}

// Guards against a queued completion of the previous wait that ends the new wait early.
BOOST_AUTO_TEST_CASE(timer_when_restarted_after_it_is_due_fires_once_and_later) {
    run_both([this] { second->start(milliseconds{30}, [this] { fired += 10; }); });
    BOOST_TEST(fired == 0);
    BOOST_TEST(loop.run_until([this] { return fired > 0; }));
    loop.run_ready();
    BOOST_TEST(fired == 10);
}

BOOST_AUTO_TEST_CASE(timer_when_not_interfered_with_fires_once) {
    run_both([] {});
    BOOST_TEST(fired == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
