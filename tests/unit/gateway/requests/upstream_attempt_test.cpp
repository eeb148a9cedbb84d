#include "gateway/requests/upstream_attempt.h"

#include <optional>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "adapter.h"
#include "support/event_loop.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;
using namespace jujubemast::gateway::requests;
using namespace std::chrono_literals;

/// One attempt at an instance that answers with raw bytes.
struct upstream_attempt_fixture {
    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("attempt");
    adapter platform = users_platform::make_adapter();
    std::shared_ptr<pool_member> member;
    std::unique_ptr<raw_response_server> server;
    event_relay relay;
    http::buffer_budget budget;
    attempt_options options{.kind = repeatability::stream, .attempt_id = "a1"};
    std::string events;
    std::optional<attempt_response> answer;
    std::optional<attempt_failure> failure;
    std::optional<response_head> notice;
    int silences = 0;
    bool can_go_on_elsewhere = false;
    std::unique_ptr<upstream_attempt> subject;

    static constexpr const char* first_event = "id: 1\ndata: x\n\n";

    static std::string head(const std::string& status, const std::string& fields) {
        return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n";
    }

    /// Head of a signed response to the attempt with this id.
    static std::string signed_head(const std::string& fields, const std::string& id = "a1") {
        return head("200 OK", "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\n" + fields);
    }

    static std::string chunk(const std::string& bytes) {
        std::ostringstream size;
        size << std::hex << bytes.size();
        return size.str() + "\r\n" + bytes + "\r\n";
    }

    void start(const raw_response& response) {
        server = std::make_unique<raw_response_server>([=](const auto&) { return response; });
        const auto address = http::parse_endpoint(server->address());
        member = std::make_shared<pool_member>(
            pool_member{{.id = "i", .address = address},
                        1,
                        std::make_shared<http::client>(loop.context(life), address),
                        0,
                        instance_state{common::monotonic_clock::now()}});
        events.clear();
        answer.reset();
        failure.reset();
        notice.reset();
        attempt_hooks hooks;
        hooks.on_notice = [this](const response_head& it) { notice = it; };
        hooks.on_events = [this](const std::string& it) { events += it; };
        hooks.on_answered = [this](const attempt_response& it) { answer = it; };
        hooks.on_failed = [this](const attempt_failure& it) { failure = it; };
        hooks.on_silence = [this] {
            ++silences;
            return can_go_on_elsewhere;
        };
        subject = std::make_unique<upstream_attempt>(loop.context(life), platform, member, relay,
                                                     budget, options, hooks);
        subject->start({"POST", "/", {{"X-Attempt-Id", "a1"}}, ""});
    }

    /// Makes the attempt and waits for its end.
    void run(const raw_response& response) {
        start(response);
        BOOST_REQUIRE(loop.run_until([this] { return answer || failure; }));
        BOOST_TEST(member->in_progress == 0U);
    }

    void check_failure(attempt_end expected) const {
        BOOST_REQUIRE(failure.has_value());
        BOOST_TEST(common::to_name(failure->end) == common::to_name(expected), failure->detail);
    }

    /// The next attempt continues a stream whose first event has reached the caller.
    void begin_stream() {
        std::string sent;
        relay = event_relay{};
        relay.feed(first_event, sent);
        options.stream_begun = true;
    }
};

BOOST_FIXTURE_TEST_SUITE(upstream_attempt_test, upstream_attempt_fixture)

// Guards against an earlier refusal that a faulty upstream sends once more: callers were told that
// a request had not run although it had, or it ran at a second upstream.
BOOST_AUTO_TEST_CASE(refusal_of_another_attempt_does_not_show_that_this_one_has_not_run) {
    for (const std::string id : {"X-Attempt-Id: other\r\n", ""}) {
        run({head("503 Unavailable", id + "X-Not-Run: 1\r\nContent-Length: 0\r\n"), "", {}});
        check_failure(attempt_end::broken);
        run({head("421 Misdirected", id + "Content-Length: 0\r\n"), "", {}});
        check_failure(attempt_end::broken);
    }
}

// Guards against an instance that is taken out of use by a response that is not its own.
BOOST_AUTO_TEST_CASE(notice_in_a_response_to_another_attempt_is_ignored) {
    run({head("503 Unavailable", "X-Attempt-Id: other\r\nX-Not-Run: 1\r\nServer-Leaving: 1\r\n"
                                 "Retry-After: 9\r\nContent-Length: 0\r\n"),
         "",
         {}});
    BOOST_TEST(!notice.has_value());
}

BOOST_AUTO_TEST_CASE(refusal_of_this_attempt_shows_that_it_has_not_run) {
    run({head("503 Unavailable", "X-Attempt-Id: a1\r\nX-Not-Run: 1\r\nServer-Leaving: 1\r\n"
                                 "Retry-After: 0.5\r\nContent-Length: 0\r\n"),
         "",
         {}});
    check_failure(attempt_end::refused);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST(notice->leaving);
    BOOST_TEST((notice->pause == 500ms));
}

// Guards against crashes of instances that leave no evidence, and against evidence where the
// connection did not end.
BOOST_AUTO_TEST_CASE(failure_when_the_instance_ends_the_connection_says_so) {
    for (const auto& bytes :
         {std::string{}, signed_head("Content-Length: 99\r\n"), signed_head("") + "id: 1\nda"}) {
        raw_response response{bytes, "", {}};
        response.after = after_response::close;
        run(response);
        BOOST_TEST(failure->connection_lost);
    }
    run({signed_head("Content-Length: 15\r\n", "other") + first_event, "", {}});
    BOOST_TEST(!failure->connection_lost);
    run({head("500 Failed", "X-Attempt-Id: a1\r\nContent-Length: 0\r\n"), "", {}});
    BOOST_TEST(!failure->connection_lost);
}

// Guards against the answer to one caller that reaches another.
BOOST_AUTO_TEST_CASE(success_of_another_attempt_is_not_passed_on) {
    for (const std::string id : {"other", ""}) {
        run({signed_head("Content-Length: 15\r\n", id) + first_event, "", {}});
        check_failure(attempt_end::broken);
        BOOST_TEST(events == "");
    }
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends as
// if it were complete, when the next instance answers with an error.
BOOST_AUTO_TEST_CASE(error_after_the_stream_has_begun_fails_and_passes_nothing_on) {
    begin_stream();
    for (const std::string status :
         {"400 Bad Request", "404 Not Found", "500 Error", "302 Found"}) {
        run({head(status, "X-Attempt-Id: a1\r\nX-Response-Seal: s\r\nContent-Length: 15\r\n") +
                 "id: 2\ndata: y\n\n",
             "",
             {}});
        check_failure(attempt_end::failed);
        BOOST_TEST(events == "");
    }
}

BOOST_AUTO_TEST_CASE(success_that_is_no_event_stream_after_the_stream_has_begun_fails) {
    begin_stream();
    run({signed_head("Content-Length: 23\r\n") + "HTTP/1.1 500 Error\r\n\r\nx", "", {}});
    check_failure(attempt_end::broken_midway);
    BOOST_TEST(events == "");
}

// Guards against responses that break off and reach the caller as complete.
BOOST_AUTO_TEST_CASE(response_that_breaks_off_is_not_complete) {
    const auto chunked = signed_head("Transfer-Encoding: chunked\r\n") + chunk(first_event);
    const std::vector<raw_response> responses{
        {signed_head("Content-Length: 99\r\n") + first_event, "", {}, after_response::close},
        {chunked, "", {}, after_response::close},
        {chunked + "0\r\n", "", {}, after_response::close},
        {signed_head("Connection: close\r\n") + first_event, "", {}, after_response::reset},
        {signed_head("Connection: close\r\n") + first_event + "id: 2\nda",
         "",
         {},
         after_response::close},
    };
    for (const auto& it : responses) {
        relay = event_relay{};
        options.stream_begun = false;
        run(it);
        check_failure(attempt_end::broken_midway);
    }
    options.kind = repeatability::non_idempotent;
    for (const auto end : {after_response::close, after_response::reset}) {
        run({signed_head("Content-Length: 99\r\n") + "body", "", {}, end});
        check_failure(attempt_end::broken);
    }
}

BOOST_AUTO_TEST_CASE(response_without_a_length_ends_with_its_connection) {
    options.kind = repeatability::non_idempotent;
    run({signed_head("Connection: close\r\n") + "body", "", {}, after_response::close});
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body == "body");
    run({signed_head("Connection: close\r\n") + "body", "", {}, after_response::reset});
    check_failure(attempt_end::broken);
}

// Guards against a second answer that is read as the answer to the next request.
BOOST_AUTO_TEST_CASE(connection_with_bytes_behind_the_response_is_not_used_again) {
    options.kind = repeatability::idempotent;
    const auto response = signed_head("Content-Length: 4\r\n") + "body";
    run({response + response, "", {}});
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body == "body");
    BOOST_TEST(member->client->idle_connections() == 0U);
}

// Guards against a stalled stream that never ends because a byte arrives now and then.
BOOST_AUTO_TEST_CASE(stream_without_a_complete_event_ends_at_the_limit) {
    options.event_limit = 300ms;
    const auto begin = common::monotonic_clock::now();
    run({signed_head("Transfer-Encoding: chunked\r\n") + chunk(first_event), chunk(":"), 50ms});
    check_failure(attempt_end::broken_midway);
    const auto took = common::monotonic_clock::now() - begin;
    BOOST_TEST((took > 290ms && took < 2s));
    BOOST_TEST(events == first_event);
}

// Guards against a silent but sound stream that is cut early although no other attempt can continue
// it.
BOOST_AUTO_TEST_CASE(silent_stream_that_cannot_go_on_elsewhere_gets_the_whole_limit) {
    options.early_event_limit = 200ms;
    options.event_limit = 700ms;
    const raw_response silent{signed_head("Transfer-Encoding: chunked\r\n") + chunk(first_event),
                              chunk(":"), 50ms};
    for (const bool can_resume : {false, true}) {
        relay = event_relay{};
        options.stream_begun = false;
        silences = 0;
        can_go_on_elsewhere = can_resume;
        const auto begin = common::monotonic_clock::now();
        run(silent);
        const auto took = common::monotonic_clock::now() - begin;
        check_failure(attempt_end::broken_midway);
        BOOST_TEST(silences == 1);
        BOOST_TEST((took >= (can_resume ? 200ms : 700ms)));
        BOOST_TEST((can_resume ? took < 600ms : took < 5s));
    }
}

// Guards against a response whose head alone counts as the begin of the stream: nothing else could
// then reach the caller, not even a failure.
BOOST_AUTO_TEST_CASE(stream_that_breaks_off_before_its_first_event_has_not_begun) {
    run({signed_head("Transfer-Encoding: chunked\r\n"), "", {}, after_response::close});
    check_failure(attempt_end::broken);
    options.event_limit = 100ms;
    run({signed_head("Transfer-Encoding: chunked\r\n") + chunk("id: 1\n"), chunk("data: x\n"),
         300ms});
    check_failure(attempt_end::broken);
}

// Guards against a slow stream that is cut although complete events keep arriving.
BOOST_AUTO_TEST_CASE(slow_stream_with_complete_events_outlasts_the_limit) {
    options.event_limit = 400ms;
    const auto begin = common::monotonic_clock::now();
    start({signed_head("Transfer-Encoding: chunked\r\n") + chunk(first_event),
           chunk("data: without an id\n\n"), 150ms});
    BOOST_TEST(loop.run_until([&] { return common::monotonic_clock::now() - begin > 1200ms; }));
    BOOST_TEST(!failure.has_value());
    BOOST_TEST(subject->in_progress());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
