#include "gateway/event_relay.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::relay_status;

struct event_relay_fixture {
    gateway::event_relay relay;
    std::string out;

    relay_status add(const std::string& bytes) { return relay.add(bytes, out); }
};

BOOST_FIXTURE_TEST_SUITE(event_relay_test, event_relay_fixture)

BOOST_AUTO_TEST_CASE(event_relay_with_a_partial_event_holds_it_back) {
    BOOST_TEST((add("id: 1\ndata: a\n\nid: 2\nda") == relay_status::good));
    BOOST_TEST(out == "id: 1\ndata: a\n\n");
    BOOST_TEST(relay.has_partial());
    BOOST_TEST((add("ta: b\n\n") == relay_status::good));
    BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(!relay.has_partial());
}

// Guards against an event that reaches the caller twice after a change of upstream.
BOOST_AUTO_TEST_CASE(event_relay_after_a_restart_leaves_out_events_that_were_passed_on) {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    relay.restart();
    add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(*relay.last_event() == 3U);
}

// Guards against a stream that continues with a gap.
BOOST_AUTO_TEST_CASE(event_relay_with_a_missing_event_reports_it) {
    add("id: 4\ndata: a\n\n");
    BOOST_TEST((add("id: 6\ndata: c\n\n") == relay_status::out_of_order));
    BOOST_TEST(out == "id: 4\ndata: a\n\n");
}

BOOST_AUTO_TEST_CASE(event_relay_with_carriage_returns_finds_the_end_of_an_event) {
    add("id: 1\r\ndata: a\r\n\r\n");
    BOOST_TEST(out == "id: 1\r\ndata: a\r\n\r\n");
    BOOST_TEST(*relay.last_event() == 1U);
}

BOOST_AUTO_TEST_CASE(event_relay_that_resumes_a_stream_drops_what_the_caller_has) {
    relay = gateway::event_relay{12};
    add("id: 12\ndata: a\n\nid: 13\ndata: b\n\n");
    BOOST_TEST(out == "id: 13\ndata: b\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
