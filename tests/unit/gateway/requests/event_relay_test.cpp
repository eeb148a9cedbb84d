#include "gateway/requests/event_relay.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace jujubemast::tests {

using gateway::requests::relay_status;

struct event_relay_fixture {
    gateway::requests::event_relay relay;
    std::string out;

    /// Ids of sound streams.
    const std::vector<std::vector<std::uint64_t>> id_series{
        {1, 2, 3, 4, 5, 6},    {7, 14, 21, 28, 35, 42}, {1, 8, 15, 22, 29, 36},
        {1, 2, 9, 11, 12, 20}, {0, 1, 5, 6, 9, 10},     {3, 4, 5, 11, 12, 13}};

    relay_status add(const std::string& bytes) { return relay.feed(bytes, out); }

    static std::string events(const std::vector<std::uint64_t>& ids, std::size_t begin,
                              std::size_t end) {
        std::string text;
        for (auto n = begin; n < end; ++n) {
            text += "id: " + std::to_string(ids[n]) + "\ndata: x\n\n";
        }
        return text;
    }

    /// Adds events one by one, as an upstream sends them.
    void check_passed(const std::vector<std::uint64_t>& ids, std::size_t begin, std::size_t end) {
        for (auto n = begin; n < end; ++n) {
            BOOST_TEST((add(events(ids, n, n + 1)) == relay_status::good), "id " << ids[n]);
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(event_relay_test, event_relay_fixture)

BOOST_AUTO_TEST_CASE(event_relay_with_a_partial_event_buffers_it) {
    BOOST_TEST((add("id: 1\ndata: a\n\nid: 2\nda") == relay_status::good));
    BOOST_TEST(out == "id: 1\ndata: a\n\n");
    BOOST_TEST(relay.has_partial());
    BOOST_TEST((add("ta: b\n\n") == relay_status::good));
    BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(!relay.has_partial());
}

// Guards against passing an event on twice after a change of upstream.
BOOST_AUTO_TEST_CASE(event_relay_after_a_restart_skips_events_that_were_passed_on) {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    relay.restart();
    add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    BOOST_TEST(*relay.last_event() == 3U);
}

// Guards against LOST of review 14: a sound stream is cut because its ids do not rise as the relay
// has guessed from those before. They may begin anywhere and rise by any step.
BOOST_AUTO_TEST_CASE(event_relay_with_ids_that_rise_by_any_step_passes_all_events_once) {
    for (const auto& ids : id_series) {
        for (std::size_t cut = 0; cut <= ids.size(); ++cut) {
            for (const bool repeats_last : {false, true}) {
                relay = gateway::requests::event_relay{};
                check_passed(ids, 0, cut);
                relay.restart();
                check_passed(ids, cut - (repeats_last && cut > 0 ? 1 : 0), ids.size());
                BOOST_TEST(out == events(ids, 0, ids.size()));
                out.clear();
            }
        }
    }
}

// Guards against the same for a stream that its caller takes up.
BOOST_AUTO_TEST_CASE(event_relay_that_resumes_a_stream_passes_any_later_ids) {
    for (const auto& ids : id_series) {
        for (std::size_t known = 1; known < ids.size(); ++known) {
            relay = gateway::requests::event_relay{ids[known - 1]};
            check_passed(ids, known, ids.size());
            BOOST_TEST(out == events(ids, known, ids.size()));
            out.clear();
        }
    }
}

// Guards against ORDER: an upstream goes back within its run and then skips the event that the
// caller got last, so that another event may be missing as well.
BOOST_AUTO_TEST_CASE(event_relay_whose_upstream_goes_back_and_skips_the_last_event_reports_it) {
    for (const std::uint64_t step : {1U, 7U}) {
        const std::vector<std::uint64_t> ids{step, 2 * step, 3 * step, 2 * step, 5 * step};
        relay = gateway::requests::event_relay{};
        check_passed(ids, 0, 4);
        BOOST_TEST((add(events(ids, 4, 5)) == relay_status::out_of_order));
        BOOST_TEST(out == events(ids, 0, 3));
        out.clear();
    }
}

// Guards against LOST of review 14: streams whose ids count tokens are cut after an event.
BOOST_AUTO_TEST_CASE(event_relay_with_ids_that_rise_by_more_than_one_passes_all_events_once) {
    add("id: 7\ndata: a\n\nid: 14\ndata: b\n\nid: 20\nda");
    relay.restart();
    BOOST_TEST(
        (add("id: 14\ndata: b\n\nid: 20\ndata: c\n\nid: 21\ndata: d\n\n") == relay_status::good));
    BOOST_TEST((add("id: 28\ndata: e\n\n") == relay_status::good));
    BOOST_TEST(out == "id: 7\ndata: a\n\nid: 14\ndata: b\n\nid: 20\ndata: c\n\n"
                      "id: 21\ndata: d\n\nid: 28\ndata: e\n\n");
}

// Guards against ORDER: an instance that ignores the last event begins a run of its own, whose
// later events are joined to those of the first one.
BOOST_AUTO_TEST_CASE(event_relay_whose_next_upstream_begins_again_reports_it) {
    add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    relay.restart();
    BOOST_TEST((add("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n") ==
                relay_status::out_of_order));
    relay = gateway::requests::event_relay{2};
    BOOST_TEST((add("id: 1\ndata: x\n\n") == relay_status::out_of_order));
    BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(event_relay_with_carriage_returns_finds_the_end_of_an_event) {
    add("id: 1\r\ndata: a\r\n\r\n");
    BOOST_TEST(out == "id: 1\r\ndata: a\r\n\r\n");
    BOOST_TEST(*relay.last_event() == 1U);
}

BOOST_AUTO_TEST_CASE(event_relay_that_resumes_a_stream_skips_what_the_caller_has) {
    relay = gateway::requests::event_relay{12};
    add("id: 12\ndata: a\n\nid: 13\ndata: b\n\n");
    BOOST_TEST(out == "id: 13\ndata: b\n\n");
}

// Guards against memory and processor time that grow with an event that never ends.
BOOST_AUTO_TEST_CASE(event_relay_with_an_endless_event_rejects_it_at_the_limit) {
    for (const std::string bytes : {"data: x\n", "x"}) {
        relay = gateway::requests::event_relay{};
        out.clear();
        add("id: 1\ndata: a\n\n");
        auto status = add("id: 2\ndata: ");
        std::size_t received = 0;
        for (; status == relay_status::good && received < 2 * gateway::requests::max_event_bytes;
             received += bytes.size()) {
            status = add(bytes);
        }
        BOOST_TEST((status == relay_status::too_large));
        BOOST_TEST(received <= gateway::requests::max_event_bytes);
        BOOST_TEST(out == "id: 1\ndata: a\n\n");
        relay.restart();
        BOOST_TEST((add("id: 2\ndata: b\n\n") == relay_status::good));
    }
}

BOOST_AUTO_TEST_CASE(event_relay_with_one_large_event_in_one_piece_rejects_it) {
    const std::string large(gateway::requests::max_event_bytes, 'x');
    BOOST_TEST((add("id: 1\ndata: " + large + "\n\n") == relay_status::too_large));
    BOOST_TEST(out == "");
}

BOOST_AUTO_TEST_CASE(event_relay_with_many_events_beyond_the_limit_of_one_passes_all) {
    std::string all;
    for (int id = 1; all.size() < 4 * gateway::requests::max_event_bytes; ++id) {
        all += "id: " + std::to_string(id) + "\ndata: some tokens\n\n";
    }
    BOOST_TEST((add(all) == relay_status::good));
    BOOST_TEST((out == all));
}

// Guards against passing on bytes that are not an event stream: any bytes before a blank line
// counted as an event.
BOOST_AUTO_TEST_CASE(event_relay_with_bytes_that_are_no_event_rejects_them) {
    for (const std::string bytes :
         {"no event\n\n", "id: 2\nda\x01\xff\n\n", "id: 2\n\x80: x\n\n", "other: x\n\n",
          "id: 2\nHTTP/1.1 200 OK\n\n", "<html>\n</html>\n\n"}) {
        relay = gateway::requests::event_relay{};
        out.clear();
        BOOST_TEST((add("id: 1\ndata: a\n\n" + bytes) == relay_status::not_an_event), bytes);
        BOOST_TEST(out == "id: 1\ndata: a\n\n");
    }
}

// Guards against spending processor time on a stream without events.
BOOST_AUTO_TEST_CASE(event_relay_with_endless_comments_or_blank_lines_rejects_them_at_the_limit) {
    for (const std::string bytes : {"\n", ": comment\n\n", "\r\n"}) {
        relay = gateway::requests::event_relay{};
        add("id: 1\ndata: a\n\n");
        auto status = relay_status::good;
        std::size_t received = 0;
        for (; status == relay_status::good && received < 2 * gateway::requests::max_event_bytes;
             received += bytes.size()) {
            status = add(bytes);
        }
        BOOST_TEST((status == relay_status::not_an_event));
    }
}

BOOST_AUTO_TEST_CASE(event_relay_with_every_form_of_line_passes_it_on) {
    const std::string all = ": a comment\n\nversion: 3\nid: 1\nevent: tokens\ndata: a\n"
                            "data\nretry: 100\n\nid:2\ndata:b\n\ndata: [DONE]\n\n";
    BOOST_TEST((add(all) == relay_status::good));
    BOOST_TEST(out == all);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
