#include "gateway/evidence/attempt_evidence.h"

#include <boost/test/unit_test.hpp>

namespace jujubemast::gateway {

namespace {

using std::chrono::milliseconds;

struct attempt_evidence_fixture {
    gateway::evidence::attempt_outcome outcome;

    [[nodiscard]] std::string_view finding() const {
        return common::to_name(judge_attempt(outcome, milliseconds{150}));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attempt_evidence_test, attempt_evidence_fixture)

BOOST_AUTO_TEST_CASE(lost_connection_before_an_event_makes_the_parts_suspects) {
    outcome.connection_ended = true;
    BOOST_TEST(finding() == "suspect");
}

BOOST_AUTO_TEST_CASE(lost_connection_long_after_the_first_event_says_nothing) {
    outcome.connection_ended = true;
    outcome.writing = milliseconds{150};
    BOOST_TEST(finding() == "none");
}

BOOST_AUTO_TEST_CASE(failure_on_an_open_connection_says_nothing) {
    BOOST_TEST(finding() == "none");
}

BOOST_AUTO_TEST_CASE(lost_connection_of_a_request_that_has_not_run_says_nothing) {
    outcome.connection_ended = true;
    outcome.certainly_not_run = true;
    BOOST_TEST(finding() == "none");
}

// Guards against a rolling release of engines whose ends count as crashes.
BOOST_AUTO_TEST_CASE(lost_connection_to_an_instance_that_stops_says_nothing) {
    outcome.connection_ended = true;
    outcome.instance_stops = true;
    BOOST_TEST(finding() == "none");
}

BOOST_AUTO_TEST_CASE(complete_response_clears_the_parts) {
    outcome.answered = true;
    BOOST_TEST(finding() == "sound");
}

// Guards against a crash that clears its own cause: without a length or chunks, the end of the
// connection looks like the end of the response.
BOOST_AUTO_TEST_CASE(short_response_that_ends_with_its_connection_says_nothing) {
    outcome.answered = true;
    outcome.connection_ended = true;
    outcome.writing = milliseconds{149};
    BOOST_TEST(finding() == "none");
    outcome.writing.reset();
    BOOST_TEST(finding() == "none");
}

BOOST_AUTO_TEST_CASE(long_response_that_ends_with_its_connection_clears_the_parts) {
    outcome.answered = true;
    outcome.connection_ended = true;
    outcome.writing = milliseconds{150};
    BOOST_TEST(finding() == "sound");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::gateway
