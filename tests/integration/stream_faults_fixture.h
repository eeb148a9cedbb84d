#pragma once

#include <algorithm>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways and two model engines of one software version, which write the number of the run
/// into each event. A test gives the response to each run.
struct stream_faults_fixture : gateway_fixture {
    static constexpr int last_id = 5;

    /// A run of a stream at an engine.
    struct run {
        /// Counted from 1 over both engines.
        int number = 0;
        /// Id after which the stream is to go on, zero for a whole stream.
        int last_event = 0;
        /// Status line and fields of a response to it, without those of the body.
        std::string head;
        /// Whether the request names an event after which the stream is to go on.
        bool resumes = false;
    };

    /// Ids of sound streams.
    const std::vector<std::vector<int>> id_series{{7, 14, 21, 28, 35, 42},
                                                  {1, 8, 15, 22, 29, 36},
                                                  {1, 2, 9, 11, 12, 20},
                                                  {0, 1, 5, 6, 9, 10},
                                                  {3, 4, 5, 11, 12, 13}};

    using run_hook = std::function<raw_response(const run&)>;

    std::mutex mutex;
    /// Responses to the first runs. The last one is also the response to all later runs.
    std::vector<run_hook> hooks;
    std::vector<run> runs;
    raw_response_server first_engine{[this](const std::string& it) { return respond(it); }};
    raw_response_server second_engine{[this](const std::string& it) { return respond(it); }};

    stream_faults_fixture() {
        replace_upstreams("engines", {"e1"}, {"x1"}, first_engine.address());
        replace_upstreams("engines", {"e2"}, {"x2"}, second_engine.address());
    }

    static std::string field(const std::string& request, const std::string& name) {
        const auto begin = request.find("\r\n" + name + ": ");
        if (begin == std::string::npos) {
            return {};
        }
        const auto value = begin + name.size() + 4;
        return request.substr(value, request.find("\r\n", value) - value);
    }

    raw_response respond(const std::string& request) {
        if (request.rfind("POST ", 0) != 0) {
            return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "", 0ms};
        }
        const std::lock_guard lock{mutex};
        const auto id = field(request, "Last-Event-Id");
        runs.push_back({static_cast<int>(runs.size()) + 1, id.empty() ? 0 : std::stoi(id),
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + field(request, "X-Attempt-Id") +
                            "\r\nX-Response-Seal: seal\r\n",
                        !id.empty()});
        return hooks.at(std::min(runs.size(), hooks.size()) - 1)(runs.back());
    }

    void set_responses(std::vector<run_hook> responses) {
        const std::lock_guard lock{mutex};
        hooks = std::move(responses);
    }

    /// Returns the ids after which the runs were to go on.
    std::vector<int> resumed_ids() {
        const std::lock_guard lock{mutex};
        std::vector<int> ids;
        for (const auto& it : runs) {
            ids.push_back(it.last_event);
        }
        return ids;
    }

    /// Returns events of a run.
    static std::string events(int run_number, int first, int last) {
        std::string text;
        for (int id = first; id <= last; ++id) {
            text +=
                "id: " + std::to_string(id) + "\ndata: run-" + std::to_string(run_number) + "\n\n";
        }
        return text;
    }

    /// Returns events of a run, by the places of their ids in a series.
    static std::string events_of(const run& it, const std::vector<int>& ids, std::size_t begin,
                                 std::size_t end) {
        std::string text;
        for (auto n = begin; n < end; ++n) {
            text += events(it.number, ids[n], ids[n]);
        }
        return text;
    }

    /// Returns the events of a run that follow the one after which it is to go on.
    static std::string events_after(const run& it, const std::vector<int>& ids) {
        const auto first =
            it.resumes ? std::upper_bound(ids.begin(), ids.end(), it.last_event) : ids.begin();
        return events_of(it, ids, static_cast<std::size_t>(first - ids.begin()), ids.size());
    }

    /// Forgets the runs so far, so that the next one is the first.
    void clear_runs() {
        const std::lock_guard lock{mutex};
        runs.clear();
    }

    /// Returns the first bytes of an event, without its end.
    static std::string part_of_event(int run_number, int id) {
        const auto event = events(run_number, id, id);
        return event.substr(0, event.size() - 3);
    }

    static std::string chunk(const std::string& bytes) {
        std::ostringstream text;
        text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return text.str();
    }

    static raw_response chunked(const run& it, const std::string& body) {
        return {it.head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n", "",
                0ms};
    }

    /// A chunked response whose connection ends before the last chunk.
    static raw_response unfinished(const run& it, const std::string& body,
                                   after_response after = after_response::close) {
        const auto chunks = body.empty() ? "" : chunk(body);
        return {it.head + "Transfer-Encoding: chunked\r\n\r\n" + chunks, "", 0ms, after};
    }

    static raw_response with_length(const run& it, const std::string& body) {
        return {it.head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "",
                0ms};
    }

    /// A response without a length, whose body ends with the connection.
    static raw_response without_length(const run& it, const std::string& body,
                                       after_response after = after_response::close) {
        return {it.head + "Connection: close\r\n\r\n" + body, "", 0ms, after};
    }

    /// Response of a sound engine.
    static raw_response rest(const run& it) {
        return chunked(it, events(it.number, it.last_event + 1, last_id));
    }

    /// Like `rest`, but with a pause after the first two events.
    static raw_response slow_rest(const run& it) {
        const auto first = it.last_event + 1;
        return {it.head + "Transfer-Encoding: chunked\r\n\r\n" +
                    chunk(events(it.number, first, first + 1)),
                chunk(events(it.number, first + 2, last_id)) + "0\r\n\r\n", 800ms};
    }

    /// Breaks within the event after the next two.
    static raw_response cut_within_event(const run& it) {
        const auto first = it.last_event + 1;
        return unfinished(it, events(it.number, first, first + 1) +
                                  part_of_event(it.number, first + 2));
    }

    received_response begin_stream(const std::string& target = "/stream/1") const {
        return send("POST", target, "begun", {{"X-Model", "m"}});
    }

    /// Takes up the stream "begun" after an event.
    received_response take_up(int last_event, const std::string& attempt = "taken-up",
                              std::size_t gateway = 0) const {
        return send(
            "POST", "/stream/1", attempt,
            {{"X-Model", "m"}, {"Last-Event-Id", std::to_string(last_event)}, {"Resumes", "begun"}},
            gateway);
    }

    /// Checks that the first run breaks with this response after two events, and that the stream is
    /// whole with the rest of another engine.
    void check_goes_on_after_two_events(const run_hook& broken) {
        set_responses({broken, rest});
        const auto response = begin_stream();
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.complete);
        BOOST_TEST(response.body == events(1, 1, 2) + events(2, 3, last_id));
        BOOST_TEST(resumed_ids() == (std::vector<int>{0, 2}), boost::test_tools::per_element());
    }

    /// Checks that a stream that breaks after two events ends there and is not complete, if this is
    /// the response to the run that is to go on.
    void check_cut_after_two_events(const run_hook& unusable) {
        set_responses({cut_within_event, unusable});
        const auto response = begin_stream();
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(!response.complete);
        BOOST_TEST(response.body == events(1, 1, 2));
        BOOST_TEST(resumed_ids() == (std::vector<int>{0, 2}), boost::test_tools::per_element());
    }

    /// Checks that a stream that a caller takes up after two events brings no event, if this is the
    /// response of all engines.
    void check_take_up_fails(const run_hook& unusable) {
        set_responses({unusable});
        const auto response = take_up(2);
        BOOST_TEST(response.status == 502U);
        BOOST_TEST(response.body.find("run-") == std::string::npos, response.body);
    }

    /// Checks that the caller gets each event of the first run once.
    void check_whole(const run_hook& unusual) {
        set_responses({unusual});
        const auto response = begin_stream();
        BOOST_TEST(response.complete);
        BOOST_TEST(response.body == events(1, 1, last_id));
    }

    /// Checks that a stream taken up after two events is whole and from one run.
    static void check_rest_of_one_run(const received_response& response) {
        BOOST_TEST(response.complete);
        const auto pos = response.body.find("run-");
        BOOST_REQUIRE(pos != std::string::npos);
        BOOST_TEST(response.body == events(std::stoi(response.body.substr(pos + 4)), 3, last_id));
    }
};

} // namespace jujubemast::tests
