#include "integration/stream_faults_fixture.h"

namespace jujubemast::tests {

BOOST_FIXTURE_TEST_SUITE(stream_faults_test, stream_faults_fixture)

// The cases guard against breaches of ORDER: an event that is missing, doubled or of a run that
// does not go on with the one before, and a response that ends as complete before its last event.

// Guards against a part of an event that the next run's first event is appended to.
BOOST_AUTO_TEST_CASE(chunked_stream_cut_within_an_event_goes_on_after_the_last_whole_one) {
    check_goes_on_after_two_events(cut_within_event);
}

// Guards against an end of the body that is taken for the end of the stream.
BOOST_AUTO_TEST_CASE(chunked_body_that_ends_within_an_event_goes_on_after_the_last_whole_one) {
    check_goes_on_after_two_events([](const run& it) {
        return chunked(it, events(it.number, 1, 2) + part_of_event(it.number, 3));
    });
}

// Guards against a length of the first engine's body that bounds the whole response, and against an
// end of the body that is taken for the end of the stream.
BOOST_AUTO_TEST_CASE(body_with_length_that_ends_within_an_event_goes_on_after_the_last_whole_one) {
    check_goes_on_after_two_events([](const run& it) {
        return with_length(it, events(it.number, 1, 2) + part_of_event(it.number, 3));
    });
}

// Guards against an end of the connection that is taken for the end of the stream.
BOOST_AUTO_TEST_CASE(body_without_length_that_ends_within_an_event_goes_on_after_the_last_whole) {
    check_goes_on_after_two_events([](const run& it) {
        return without_length(it, events(it.number, 1, 2) + part_of_event(it.number, 3));
    });
}

// Guards against a blank line that is missing at the end of the body and regarded as sent.
BOOST_AUTO_TEST_CASE(body_that_ends_before_the_blank_line_goes_on_after_the_last_whole_event) {
    check_goes_on_after_two_events([](const run& it) {
        auto body = events(it.number, 1, 3);
        body.pop_back();
        return chunked(it, body);
    });
}

BOOST_AUTO_TEST_CASE(chunked_stream_cut_between_events_goes_on_after_the_last_one) {
    check_goes_on_after_two_events(
        [](const run& it) { return unfinished(it, events(it.number, 1, 2)); });
}

// Guards against the fields of an event that are passed on before the event is whole: an event at
// which the weights change begins with their version.
BOOST_AUTO_TEST_CASE(stream_cut_after_the_weight_version_of_an_event_goes_on_after_the_last_whole) {
    check_goes_on_after_two_events([](const run& it) {
        return unfinished(it, events(it.number, 1, 2) + "x-weight-versions: 8\n");
    });
}

BOOST_AUTO_TEST_CASE(stream_without_the_last_event_and_the_end_is_not_complete) {
    set_responses({[](const run& it) { return unfinished(it, events(it.number, 1, 4)); },
                   [](const run& it) { return unfinished(it, ""); }});
    const auto response = begin_stream();
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body == events(1, 1, 4));
}

// Guards against a body without a length whose reset is taken for its end.
BOOST_AUTO_TEST_CASE(body_without_length_that_is_reset_is_not_complete) {
    set_responses({[](const run& it) {
        return without_length(it, events(it.number, it.last_event + 1, it.last_event + 2),
                              after_response::reset);
    }});
    const auto response = begin_stream();
    BOOST_TEST(!response.complete);
    // A reset may drop events that were sent before it, but those that arrive are in order.
    int next = 1;
    for (auto pos = response.body.find("id: "); pos != std::string::npos;
         pos = response.body.find("id: ", pos + 1)) {
        BOOST_TEST(std::stoi(response.body.substr(pos + 4)) == next++);
    }
    BOOST_TEST(next <= last_id);
}

// Guards against a retry where the route does not allow a second run.
BOOST_AUTO_TEST_CASE(stream_that_may_not_be_resumed_is_not_complete_when_cut) {
    set_responses({cut_within_event});
    const auto response = begin_stream("/talk/1");
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body == events(1, 1, 2));
    BOOST_TEST(resumed_ids().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stream_whose_end_alone_is_missing_ends_with_its_last_event) {
    set_responses(
        {[](const run& it) { return unfinished(it, events(it.number, 1, last_id)); }, rest});
    const auto response = begin_stream();
    BOOST_TEST(response.body == events(1, 1, last_id));
}

BOOST_AUTO_TEST_CASE(event_written_twice_reaches_the_caller_once) {
    check_whole([](const run& it) {
        return chunked(it, events(it.number, 1, 2) + events(it.number, 2, last_id));
    });
}

BOOST_AUTO_TEST_CASE(last_event_written_twice_reaches_the_caller_once) {
    check_whole([](const run& it) {
        return chunked(it, events(it.number, 1, last_id) + events(it.number, last_id, last_id));
    });
}

BOOST_AUTO_TEST_CASE(events_with_ids_that_go_back_reach_the_caller_once_and_in_order) {
    check_whole([](const run& it) {
        return chunked(it, events(it.number, 1, 3) + events(it.number, 1, last_id));
    });
}

// Guards against LOST of review 14: streams of sound engines are cut because their ids do not rise
// as the gateway has guessed.
BOOST_AUTO_TEST_CASE(stream_whose_ids_rise_by_any_step_is_whole) {
    for (const auto& ids : id_series) {
        set_responses({[&](const run& it) { return chunked(it, events_after(it, ids)); }});
        const auto response = begin_stream();
        BOOST_TEST(response.complete);
        BOOST_TEST(response.body == events_of({1}, ids, 0, ids.size()));
        BOOST_TEST(resumed_ids() == (std::vector<int>{0}), boost::test_tools::per_element());
        clear_runs();
    }
}

// Guards against a run that goes back and then leaves out an event that it has sent before.
BOOST_AUTO_TEST_CASE(stream_that_goes_back_and_skips_its_last_event_goes_on_at_another_engine) {
    set_responses({[](const run& it) {
                       return chunked(it, events(it.number, 1, 3) + events(it.number, 2, 2) +
                                              events(it.number, last_id, last_id));
                   },
                   rest});
    const auto response = begin_stream();
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == events(1, 1, 3) + events(2, 4, last_id));
    BOOST_TEST(resumed_ids() == (std::vector<int>{0, 3}), boost::test_tools::per_element());
}

// Guards against a new run that does not go on with the first one, and whose later events are
// joined to that.
BOOST_AUTO_TEST_CASE(stream_whose_next_engine_starts_again_at_1_is_not_joined) {
    check_cut_after_two_events(
        [](const run& it) { return chunked(it, events(it.number, 1, last_id)); });
}

// Guards against LOST: the rest of a stream is taken for one that lacks an event, because its ids
// do not rise by one.
BOOST_AUTO_TEST_CASE(stream_that_is_cut_goes_on_whatever_ids_follow) {
    // Few enough cuts for the retry budget of a gateway that has just started.
    std::size_t cut = 0;
    for (const auto& ids : id_series) {
        ++cut;
        set_responses({[&](const run& it) {
                           return unfinished(it, events_of(it, ids, 0, cut) +
                                                     part_of_event(it.number, ids[cut]));
                       },
                       [&](const run& it) { return chunked(it, events_after(it, ids)); }});
        const auto response = begin_stream();
        BOOST_TEST(response.complete, "cut after " << ids[cut - 1]);
        BOOST_TEST(response.body ==
                   events_of({1}, ids, 0, cut) + events_of({2}, ids, cut, ids.size()));
        clear_runs();
    }
}

BOOST_AUTO_TEST_CASE(stream_whose_next_engine_sends_nothing_is_not_complete) {
    check_cut_after_two_events([](const run& it) { return unfinished(it, ""); });
}

// Guards against an engine that stops after the head of a response without a length, which is taken
// for one that has nothing to add.
BOOST_AUTO_TEST_CASE(stream_whose_next_engine_closes_after_the_head_is_not_complete) {
    check_cut_after_two_events([](const run& it) { return without_length(it, ""); });
}

// Guards against the same where the engine has sent a comment.
BOOST_AUTO_TEST_CASE(stream_whose_next_engine_closes_after_a_comment_is_not_complete) {
    set_responses(
        {cut_within_event, [](const run& it) { return without_length(it, ": waits\n\n"); }});
    const auto response = begin_stream();
    BOOST_TEST(!response.complete);
}

BOOST_AUTO_TEST_CASE(stream_whose_first_engine_closes_after_a_comment_goes_on_at_another) {
    set_responses({[](const run& it) { return without_length(it, ": waits\n\n"); }, rest});
    const auto response = begin_stream();
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == ": waits\n\n" + events(2, 1, last_id));
}

// Guards against a failure's body that is appended to the events.
BOOST_AUTO_TEST_CASE(stream_whose_next_engine_fails_is_not_complete) {
    check_cut_after_two_events([](const run& it) {
        auto failed = with_length(it, "failed");
        failed.begin.replace(0, sizeof("HTTP/1.1 200 OK") - 1, "HTTP/1.1 500 Failed");
        return failed;
    });
}

BOOST_AUTO_TEST_CASE(stream_whose_next_engine_breaks_again_is_not_complete) {
    set_responses({cut_within_event});
    const auto response = begin_stream();
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body == events(1, 1, 2) + events(2, 3, 4));
    BOOST_TEST(resumed_ids() == (std::vector<int>{0, 2}), boost::test_tools::per_element());
}

// Guards against the late events of an engine that was silent while another one goes on.
BOOST_AUTO_TEST_CASE(stream_whose_silent_engine_wakes_after_another_took_over_is_not_joined) {
    set_responses({[](const run& it) {
                       const auto event = part_of_event(it.number, 3);
                       const auto begun = events(it.number, 1, 2) + event;
                       return raw_response{
                           it.head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(begun),
                           chunk(events(it.number, 1, last_id).substr(begun.size())) + "0\r\n\r\n",
                           3000ms};
                   },
                   slow_rest});
    const auto response = begin_stream();
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == events(1, 1, 2) + events(2, 3, last_id));
    BOOST_TEST(resumed_ids() == (std::vector<int>{0, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
