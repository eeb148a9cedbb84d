#include <array>
#include <future>

#include "integration/stream_faults_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(stream_take_up_test, stream_faults_fixture)

// The cases guard against breaches of ORDER in streams that their callers take up.

BOOST_AUTO_TEST_CASE(stream_taken_up_goes_on_after_the_last_event_of_the_caller) {
    set_responses({rest});
    check_rest_of_one_run(take_up(2));
}

// Guards against a new run that is joined to the events that the caller has.
BOOST_AUTO_TEST_CASE(stream_taken_up_at_engines_that_start_again_at_1_is_not_joined) {
    check_take_up_fails([](const run& it) { return chunked(it, events(it.number, 1, last_id)); });
}

// Guards against LOST: the rest of a stream that a caller takes up is refused, because its first id
// does not follow the caller's last one.
BOOST_AUTO_TEST_CASE(stream_taken_up_after_any_event_goes_on_whatever_ids_follow) {
    for (const auto& ids : id_series) {
        for (std::size_t known = 1; known < ids.size(); ++known) {
            set_responses({[&](const run& it) { return chunked(it, events_after(it, ids)); }});
            const auto response = take_up(ids[known - 1]);
            BOOST_TEST(response.complete);
            BOOST_TEST(response.body == events_of({1}, ids, known, ids.size()));
            clear_runs();
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_taken_up_at_an_engine_that_starts_again_goes_on_at_another) {
    set_responses({[](const run& it) { return chunked(it, events(it.number, 1, last_id)); }, rest});
    check_rest_of_one_run(take_up(2));
    BOOST_TEST(resumed_ids() == (std::vector<int>{2, 2}), boost::test_tools::per_element());
}

// Guards against a second run that goes on after the caller's last event and repeats what the first
// one has brought.
BOOST_AUTO_TEST_CASE(stream_taken_up_whose_engine_breaks_goes_on_after_the_events_since) {
    set_responses({[](const run& it) {
                       return unfinished(it, events(it.number, 3, 3) + part_of_event(it.number, 4));
                   },
                   rest});
    const auto response = take_up(2);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == events(1, 3, 3) + events(2, 4, last_id));
    BOOST_TEST(resumed_ids() == (std::vector<int>{2, 3}), boost::test_tools::per_element());
}

// Guards against a second run that starts at 1, because the first one has brought no event.
BOOST_AUTO_TEST_CASE(stream_taken_up_whose_engine_breaks_before_an_event_goes_on_where_asked) {
    set_responses(
        {[](const run& it) { return unfinished(it, ": waits\n\n" + part_of_event(it.number, 3)); },
         rest});
    const auto response = take_up(2);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == ": waits\n\n" + events(2, 3, last_id));
    BOOST_TEST(resumed_ids() == (std::vector<int>{2, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stream_taken_up_whose_engines_both_break_is_not_complete) {
    set_responses({[](const run& it) {
        const auto next = it.last_event + 1;
        return unfinished(it, events(it.number, next, next) + part_of_event(it.number, next + 1));
    }});
    const auto response = take_up(2);
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body == events(1, 3, 3) + events(2, 4, 4));
}

// Guards against events of one take-up that reach the other.
BOOST_AUTO_TEST_CASE(stream_taken_up_at_two_gateways_at_once_is_whole_at_both) {
    set_responses({slow_rest});
    auto first = std::async(std::launch::async, [this] { return take_up(2, "first", 0); });
    auto second = std::async(std::launch::async, [this] { return take_up(2, "second", 1); });
    const auto responses = std::array{first.get(), second.get()};
    BOOST_TEST(resumed_ids() == (std::vector<int>{2, 2}), boost::test_tools::per_element());
    for (const auto& it : responses) {
        check_rest_of_one_run(it);
    }
    BOOST_TEST(responses[0].body != responses[1].body);
}

// Guards against two attempts with one id that are taken for one.
BOOST_AUTO_TEST_CASE(stream_taken_up_twice_with_its_own_attempt_at_one_gateway_is_whole_in_both) {
    set_responses({slow_rest});
    auto first = std::async(std::launch::async, [this] { return take_up(2, "begun"); });
    auto second = std::async(std::launch::async, [this] { return take_up(2, "begun"); });
    for (const auto& it : {first.get(), second.get()}) {
        check_rest_of_one_run(it);
    }
}

// Guards against events of the take-up that reach the first caller, and the reverse.
BOOST_AUTO_TEST_CASE(stream_taken_up_while_its_first_response_flows_is_whole_in_both) {
    set_responses({slow_rest});
    for (const std::size_t gateway : {0, 1}) {
        auto first = std::async(std::launch::async, [this] { return begin_stream(); });
        wait_until("the first run has begun",
                   [&] { return resumed_ids().size() == 2 * gateway + 1; });
        const auto second = take_up(2, "taken-up", gateway);
        const auto whole = first.get();
        BOOST_TEST(whole.complete);
        BOOST_TEST(whole.body == events(static_cast<int>(2 * gateway) + 1, 1, last_id));
        check_rest_of_one_run(second);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
