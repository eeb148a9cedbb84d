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
    reading_key first{"g1", 1};
    reading_key second{"g1", 2};
    reading_search search{now};
};

BOOST_FIXTURE_TEST_SUITE(reading_schedule_test, reading_schedule_fixture)

// Guards against streams that pause beyond their target while their engine reads two long prompts.
BOOST_AUTO_TEST_CASE(engine_that_reads_a_prompt_gets_no_second_one) {
    BOOST_TEST(subject.request("e", first, milliseconds{200}, now));
    BOOST_TEST(!subject.request("e", second, milliseconds{200}, now + milliseconds{200}));
    BOOST_TEST(subject.request("f", second, milliseconds{200}, now));
    BOOST_TEST(subject.busy(now) == 2U);
}

// Guards against a second prompt at an engine that reads more slowly than estimated.
BOOST_AUTO_TEST_CASE(grant_of_a_reading_that_takes_longer_than_estimated_lasts_until_its_end) {
    subject.request("e", first, milliseconds{200}, now);
    now += milliseconds{600};
    BOOST_TEST(!subject.request("e", second, milliseconds{200}, now));
    subject.end("e", first);
    BOOST_TEST(subject.request("e", second, milliseconds{200}, now));
}

// Guards against an engine that stays blocked after a short reading.
BOOST_AUTO_TEST_CASE(grant_whose_end_is_reported_early_ends_at_once) {
    subject.request("e", first, milliseconds{200}, now);
    subject.end("e", first);
    BOOST_TEST(subject.busy(now) == 0U);
    BOOST_TEST(subject.request("e", second, milliseconds{200}, now));
}

// Guards against two readings at one engine after a late report, or a report of a refused question.
BOOST_AUTO_TEST_CASE(end_of_another_question_keeps_the_grant) {
    subject.request("e", first, milliseconds{200}, now);
    subject.end("e", second);
    subject.end("e", {"g2", first.number});
    subject.end("unknown", first);
    BOOST_TEST(!subject.request("e", second, milliseconds{200}, now));
}

// Guards against an engine that gets no prompt any more because a message or a gateway was lost.
BOOST_AUTO_TEST_CASE(grant_whose_end_is_not_reported_ends_after_four_times_the_estimate) {
    subject.request("e", first, milliseconds{200}, now);
    BOOST_TEST(!subject.request("e", second, milliseconds{200}, now + milliseconds{799}));
    BOOST_TEST(subject.request("e", second, milliseconds{200}, now + milliseconds{800}));
}

// Guards against a short reading that waits at its engine and loses its grant meanwhile.
BOOST_AUTO_TEST_CASE(grant_of_a_short_reading_lasts_for_a_minimum) {
    subject.request("e", first, milliseconds{73}, now);
    BOOST_TEST(subject.busy(now + milliseconds{399}) == 1U);
    BOOST_TEST(subject.busy(now + milliseconds{400}) == 0U);
}

// Guards against a request that names a huge prompt and blocks an engine, and against an overflow.
BOOST_AUTO_TEST_CASE(grant_for_a_prompt_out_of_proportion_ends_soon) {
    subject.request("e", first, seconds{1000}, now);
    subject.request("f", first, common::duration::max(), now);
    BOOST_TEST(subject.busy(now) == 2U);
    BOOST_TEST(subject.busy(now + seconds{3}) == 0U);
}

// Guards against the choice of an engine whose reading is overdue as if it were about to end.
BOOST_AUTO_TEST_CASE(
    engine_that_reads_a_prompt_is_expected_free_at_its_estimate_or_else_its_limit) {
    subject.request("e", first, milliseconds{200}, now);
    BOOST_TEST((subject.free_in("e", now + milliseconds{150}) == milliseconds{50}));
    BOOST_TEST((subject.free_in("e", now + milliseconds{300}) == milliseconds{500}));
    BOOST_TEST((subject.free_in("e", now + milliseconds{800}) == milliseconds{0}));
    BOOST_TEST((subject.free_in("unknown", now) == milliseconds{0}));
}

BOOST_AUTO_TEST_CASE(prompt_of_average_length_takes_the_measured_time) {
    BOOST_TEST((reading_time(12'000) > milliseconds{211}));
    BOOST_TEST((reading_time(12'000) < milliseconds{213}));
    BOOST_TEST(is_long_prompt(12'000));
    BOOST_TEST(!is_long_prompt(4'096));
}

BOOST_AUTO_TEST_CASE(search_that_is_granted_an_engine_sends_the_request_there) {
    search.asked(7, "e");
    BOOST_TEST((search.answered(7, true, {}, now) == reading_step::send_there));
    BOOST_TEST(search.engine() == "e");
}

BOOST_AUTO_TEST_CASE(search_that_is_refused_asks_for_the_next_engine_a_few_times) {
    for (std::uint64_t n = 1; n < 4; ++n) {
        search.asked(n, "e" + std::to_string(n));
        BOOST_TEST((search.answered(n, false, {}, now) == reading_step::ask));
    }
    search.asked(4, "e4");
    BOOST_TEST((search.answered(4, false, {}, now) == reading_step::send_anywhere));
    BOOST_TEST(search.refused().size() == 4U);
}

// Guards against a prompt at an engine that goes on reading for long when none is free.
BOOST_AUTO_TEST_CASE(search_with_refusals_names_the_engine_whose_reading_ends_first_at_first) {
    const std::vector<std::pair<std::string, milliseconds>> refusals{
        {"e1", milliseconds{300}}, {"e2", milliseconds{100}}, {"e3", milliseconds{200}}};
    for (std::uint64_t n = 0; n < refusals.size(); ++n) {
        search.asked(n, refusals[n].first);
        search.answered(n, false, refusals[n].second, now);
    }
    BOOST_TEST(search.refused().size() == 3U);
    BOOST_TEST(search.refused().front() == "e2");
}

// Guards against requests that wait for a message that was lost.
BOOST_AUTO_TEST_CASE(search_without_a_response_sends_the_request_anywhere) {
    search.asked(1, "e");
    BOOST_TEST((search.time_over() == reading_step::send_anywhere));
}

// Guards against a request that is sent twice because a response comes after its time.
BOOST_AUTO_TEST_CASE(response_after_the_end_of_the_search_or_to_another_question_changes_nothing) {
    search.asked(1, "e");
    BOOST_TEST((search.answered(2, true, {}, now) == reading_step::none));
    search.time_over();
    BOOST_TEST((search.answered(1, true, {}, now) == reading_step::none));
    search.asked(3, "f");
    BOOST_TEST((search.answered(1, false, {}, now) == reading_step::none));
    BOOST_TEST((search.answered(3, true, {}, now) == reading_step::send_there));
    BOOST_TEST((search.time_over() == reading_step::none));
}

// Guards against a search that goes on with slow responses.
BOOST_AUTO_TEST_CASE(refusal_after_the_time_of_the_search_ends_it) {
    search.asked(1, "e");
    BOOST_TEST((search.answered(1, false, {}, search.ends()) == reading_step::send_anywhere));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
