#include "runtime/mailbox.h"

#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/event_loop.h"

namespace jujubemast::tests {

struct mailbox_fixture {
    event_loop loop;
    std::shared_ptr<runtime::mailbox<int>> mailbox = runtime::make_mailbox<int>(loop.executor(), 3);
    runtime::address<int> target{mailbox};
    std::vector<int> received;

    void attach() {
        mailbox->attach([this](int message) { received.push_back(message); });
    }
};

BOOST_FIXTURE_TEST_SUITE(mailbox_test, mailbox_fixture)

BOOST_AUTO_TEST_CASE(mailbox_when_messages_are_sent_delivers_them_in_order) {
    attach();
    target.send(1);
    target.send(2);
    loop.run_ready();
    BOOST_TEST((received == std::vector<int>{1, 2}));
}

// Guards against a sender that fills the memory because it is faster than the receiver.
BOOST_AUTO_TEST_CASE(mailbox_when_full_refuses_further_messages) {
    attach();
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(target.send(n));
    }
    BOOST_TEST(!target.send(3));
    BOOST_TEST(mailbox->rejected() == 1U);
}

BOOST_AUTO_TEST_CASE(mailbox_when_no_task_receives_refuses_messages) {
    BOOST_TEST(!target.send(1));
}

// Guards against a restarted task that handles messages queued for its failed predecessor.
BOOST_AUTO_TEST_CASE(mailbox_when_detached_drops_queued_messages) {
    attach();
    target.send(1);
    mailbox->detach();
    attach();
    loop.run_ready();
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
