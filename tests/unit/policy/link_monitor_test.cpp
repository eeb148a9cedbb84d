#include "policy/link_monitor.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using namespace jujubemast::policy;
using std::chrono::milliseconds;

struct link_monitor_fixture {
    common::time_point now = common::time_point{} + std::chrono::hours{1};
    link_monitor monitor;

    link_monitor_fixture() {
        monitor.opened(now);
        answer_heartbeat();
    }

    void answer_heartbeat() {
        monitor.heartbeat_sent(now);
        monitor.heartbeat_answered(now);
    }

    /// Returns the number of heartbeats in ten seconds when each is answered immediately.
    int heartbeats_in_ten_seconds(bool active) {
        int sent = 0;
        for (int n = 0; n < 1000; ++n, now += milliseconds{10}) {
            if (monitor.next_action(now, active) == link_action::send_heartbeat) {
                ++sent;
                answer_heartbeat();
            }
        }
        return sent;
    }
};

BOOST_FIXTURE_TEST_SUITE(link_monitor_test, link_monitor_fixture)

// Guards against control traffic that grows with the number of unused links.
BOOST_AUTO_TEST_CASE(link_monitor_when_idle_sends_few_heartbeats) {
    BOOST_TEST(heartbeats_in_ten_seconds(false) <= 10);
    BOOST_TEST(heartbeats_in_ten_seconds(true) >= 38);
}

// Guards against needless heartbeats on a busy link.
BOOST_AUTO_TEST_CASE(link_monitor_when_results_arrive_sends_heartbeats_at_the_idle_interval) {
    int sent = 0;
    for (int n = 0; n < 500; ++n, now += milliseconds{20}) {
        monitor.message_received(now);
        if (monitor.next_action(now, true) == link_action::send_heartbeat) {
            ++sent;
            answer_heartbeat();
        }
    }
    BOOST_TEST(sent <= 10);
}

// Guards against a connection whose outgoing direction fails while results still arrive.
BOOST_AUTO_TEST_CASE(link_monitor_when_only_results_arrive_replaces_the_link) {
    now += milliseconds{100};
    monitor.heartbeat_sent(now);
    now += milliseconds{1001};
    monitor.message_received(now);
    BOOST_TEST((monitor.next_action(now, true) == link_action::replace));
}

// Guards against requests that wait longer than the silence limit on a dead connection. Further
// heartbeats must not restart the wait for an answer.
BOOST_AUTO_TEST_CASE(link_monitor_when_heartbeat_stays_unanswered_replaces_the_link) {
    now += milliseconds{250};
    monitor.heartbeat_sent(now);
    now += milliseconds{990};
    monitor.heartbeat_sent(now);
    BOOST_TEST((monitor.next_action(now, true) != link_action::replace));
    now += milliseconds{20};
    BOOST_TEST((monitor.next_action(now, true) == link_action::replace));
}

// Guards against work sent on a connection that died while it was idle.
BOOST_AUTO_TEST_CASE(link_monitor_when_nothing_arrives_for_a_while_is_not_heard_recently) {
    BOOST_TEST(monitor.heard_recently(now));
    now += milliseconds{600};
    BOOST_TEST(!monitor.heard_recently(now));
    monitor.message_received(now);
    BOOST_TEST(monitor.heard_recently(now));
    BOOST_TEST(!monitor.answered_recently(now));
    answer_heartbeat();
    BOOST_TEST(monitor.answered_recently(now));
}

BOOST_AUTO_TEST_CASE(link_monitor_when_connection_is_new_is_not_heard_recently) {
    monitor.opened(now);
    BOOST_TEST(!monitor.heard_recently(now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
