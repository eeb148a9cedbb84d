#include "gateway/instances/reading_schedule.h"

#include <boost/test/unit_test.hpp>

#include "gateway/instances/reading_search.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway::instances;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct reading_schedule_fixture {
    common::time_point now{seconds{100}};
    reading_schedule subject;
    reading_search search{now};
};

BOOST_FIXTURE_TEST_SUITE(reading_schedule_test, reading_schedule_fixture)

// Guards against streams that pause beyond their target while their engine reads two long prompts.
BOOST_AUTO_TEST_CASE(engine_that_reads_a_prompt_gets_no_second_one) {
    BOOST_TEST(subject.request("e", milliseconds{200}, now));
    BOOST_TEST(!subject.request("e", milliseconds{200}, now + milliseconds{200}));
    BOOST_TEST(subject.request("f", milliseconds{200}, now));
    BOOST_TEST(subject.busy(now) == 2U);
}

// Guards against an engine that gets no prompt any more because a response was lost.
BOOST_AUTO_TEST_CASE(grant_that_nobody_uses_ends_by_itself) {
    subject.request("e", milliseconds{200}, now);
    now += milliseconds{221};
    BOOST_TEST(subject.request("e", milliseconds{200}, now));
}

// Guards against a request that names a huge prompt and blocks an engine.
BOOST_AUTO_TEST_CASE(grant_for_a_prompt_out_of_proportion_ends_soon) {
    subject.request("e", seconds{1000}, now);
    BOOST_TEST(subject.busy(now + seconds{3}) == 0U);
}

BOOST_AUTO_TEST_CASE(prompt_of_average_length_takes_the_measured_time) {
    BOOST_TEST((reading_time(12'000) > milliseconds{211}));
    BOOST_TEST((reading_time(12'000) < milliseconds{213}));
    BOOST_TEST(is_long_prompt(12'000));
    BOOST_TEST(!is_long_prompt(4'096));
}

BOOST_AUTO_TEST_CASE(search_that_is_granted_an_engine_sends_the_request_there) {
    search.asked(7, "e");
    BOOST_TEST((search.answered(7, true, now) == reading_step::send_there));
    BOOST_TEST(search.engine() == "e");
}

BOOST_AUTO_TEST_CASE(search_that_is_refused_asks_for_the_next_engine_a_few_times) {
    for (std::uint64_t n = 1; n < 4; ++n) {
        search.asked(n, "e" + std::to_string(n));
        BOOST_TEST((search.answered(n, false, now) == reading_step::ask));
    }
    search.asked(4, "e4");
    BOOST_TEST((search.answered(4, false, now) == reading_step::send_anywhere));
    BOOST_TEST(search.refused().size() == 4U);
}

// Guards against requests that wait for a message that was lost.
BOOST_AUTO_TEST_CASE(search_without_a_response_sends_the_request_anywhere) {
    search.asked(1, "e");
    BOOST_TEST((search.time_over() == reading_step::send_anywhere));
}

// Guards against a request that is sent twice because a response comes after its time.
BOOST_AUTO_TEST_CASE(response_after_the_end_of_the_search_or_to_another_question_changes_nothing) {
    search.asked(1, "e");
    BOOST_TEST((search.answered(2, true, now) == reading_step::none));
    search.time_over();
    BOOST_TEST((search.answered(1, true, now) == reading_step::none));
    search.asked(3, "f");
    BOOST_TEST((search.answered(1, false, now) == reading_step::none));
    BOOST_TEST((search.answered(3, true, now) == reading_step::send_there));
    BOOST_TEST((search.time_over() == reading_step::none));
}

// Guards against a search that goes on with slow responses.
BOOST_AUTO_TEST_CASE(refusal_after_the_time_of_the_search_ends_it) {
    search.asked(1, "e");
    BOOST_TEST((search.answered(1, false, search.ends()) == reading_step::send_anywhere));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
