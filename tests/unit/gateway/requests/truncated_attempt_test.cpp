#include <mutex>
#include <optional>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "adapter.h"
#include "gateway/requests/upstream_attempt.h"
#include "support/event_loop.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace jujubemast::gateway;
using namespace jujubemast::gateway::instances;
using namespace jujubemast::gateway::requests;

/// Attempts at an instance that breaks its responses off.
struct truncated_attempt_fixture {
    /// A complete response.
    struct valid_response {
        std::string name;
        repeatability kind = repeatability::non_idempotent;
        std::string head;
        std::string body_bytes;
        /// The body ends with the connection.
        bool ends_with_connection = false;
    };

    /// What reaches the caller of an attempt.
    struct result {
        bool is_complete = false;
        std::string body;
    };

    static constexpr const char* first_event = "id: 1\ndata: x\n\n";
    static constexpr const char* second_event = "id: 2\ndata: y\n\n";
    static constexpr const char* seal = "X-Attempt-Id: a1\r\nX-Response-Seal: s\r\n";

    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> life = make_lifecycle("attempt");
    adapter platform = users_platform::make_adapter();
    http::buffer_budget budget;
    std::mutex mutex;
    raw_response next;
    raw_response_server server{[this](const std::string& /*request*/) {
        const std::lock_guard lock{mutex};
        return next;
    }};
    std::shared_ptr<pool_member> member = make_member();

    std::shared_ptr<pool_member> make_member() {
        const auto address = http::parse_endpoint(server.address());
        return std::make_shared<pool_member>(
            pool_member{{.id = "i", .address = address},
                        1,
                        std::make_shared<http::client>(loop.context(life), address),
                        0,
                        instance_state{common::monotonic_clock::now()}});
    }

    static std::string chunk(const std::string& bytes) {
        std::ostringstream size;
        size << std::hex << bytes.size();
        return size.str() + "\r\n" + bytes + "\r\n";
    }

    static std::vector<valid_response> valid_responses() {
        const auto head = [](const std::string& fields) {
            return "HTTP/1.1 200 OK\r\n" + std::string{seal} + fields + "\r\n";
        };
        const auto events = std::string{first_event} + second_event;
        const auto length = std::to_string(events.size());
        return {{"plain with a length", repeatability::non_idempotent,
                 head("Content-Length: 4\r\n"), "body"},
                {"plain in chunks", repeatability::idempotent,
                 head("Transfer-Encoding: chunked\r\n"), chunk("bo") + chunk("dy") + "0\r\n\r\n"},
                {"plain until close", repeatability::non_idempotent, head("Connection: close\r\n"),
                 "body", true},
                {"stream with a length", repeatability::stream,
                 head("Content-Length: " + length + "\r\n"), events},
                {"stream in chunks", repeatability::stream, head("Transfer-Encoding: chunked\r\n"),
                 chunk(first_event) + chunk(second_event) + "0\r\n\r\n"},
                {"stream until close", repeatability::stream, head("Connection: close\r\n"), events,
                 true}};
    }

    /// `stream_begun` is whether an earlier attempt has passed events of the stream on.
    result attempt(repeatability kind, const std::string& bytes, after_response after,
                   bool stream_begun = false) {
        {
            const std::lock_guard lock{mutex};
            next = {bytes, "", {}, after};
        }
        result got;
        bool ended = false;
        event_relay relay;
        attempt_hooks hooks;
        hooks.on_notice = [](const response_head& /*head*/) {};
        hooks.on_events = [&](const std::string& it) { got.body += it; };
        hooks.on_answered = [&](const attempt_response& it) {
            got.is_complete = true;
            got.body += it.body;
            ended = true;
        };
        hooks.on_failed = [&](const attempt_failure& /*failure*/) { ended = true; };
        upstream_attempt subject{
            loop.context(life),
            platform,
            member,
            relay,
            budget,
            attempt_options{.kind = kind, .attempt_id = "a1", .stream_begun = stream_begun},
            hooks};
        subject.start({"POST", "/", {{"X-Attempt-Id", "a1"}}, ""});
        BOOST_REQUIRE(loop.run_until([&] { return ended; }));
        return got;
    }

    /// Whether a response that ends with its connection is complete after these bytes of its body.
    /// A stream has at least one event, which an instance that stops after its head has not sent.
    static bool may_end(const valid_response& response, const std::string& body) {
        return response.kind != repeatability::stream || body.ends_with("\n\n");
    }
};

BOOST_FIXTURE_TEST_SUITE(truncated_attempt_test, truncated_attempt_fixture)

// Guards against a success with an empty or short body that reaches the caller as complete, because
// the instance stopped within its head or body.
BOOST_AUTO_TEST_CASE(attempt_is_answered_only_when_the_whole_response_has_been_received) {
    for (const auto& it : valid_responses()) {
        const auto bytes = it.head + it.body_bytes;
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            BOOST_TEST_CONTEXT(it.name << " after " << size << " bytes") {
                const auto received = bytes.substr(0, size);
                const bool whole = size == bytes.size();
                if (!whole || it.ends_with_connection) {
                    BOOST_TEST(!attempt(it.kind, received, after_response::reset).is_complete);
                }
                const auto got = attempt(it.kind, received, after_response::close);
                const bool ends = it.ends_with_connection && size >= it.head.size() &&
                                  may_end(it, received.substr(it.head.size()));
                BOOST_TEST(got.is_complete == (whole || ends));
                if (ends) {
                    BOOST_TEST(got.body == received.substr(it.head.size()));
                }
            }
        }
    }
    BOOST_TEST(member->in_progress == 0U);
}

// Guards against a part of a broken event that reaches the caller.
BOOST_AUTO_TEST_CASE(stream_that_breaks_off_passes_on_complete_events_only) {
    for (const auto& it : valid_responses()) {
        if (it.kind != repeatability::stream) {
            continue;
        }
        const auto bytes = it.head + it.body_bytes;
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto got = attempt(it.kind, bytes.substr(0, size), after_response::close);
            BOOST_TEST((got.body.empty() || got.body == first_event ||
                        got.body == std::string{first_event} + second_event),
                       it.name << " after " << size << " bytes");
        }
    }
}

// Guards against an empty stream whose end the instance has sent and that counts as broken off.
BOOST_AUTO_TEST_CASE(stream_without_an_event_whose_end_is_explicit_is_complete) {
    const auto head = "HTTP/1.1 200 OK\r\n" + std::string{seal};
    for (const std::string end :
         {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
        BOOST_TEST(attempt(repeatability::stream, head + end, after_response::close).is_complete);
    }
}

// Guards against the rest of a broken stream that counts as complete, because its instance stopped
// after the head or a comment.
BOOST_AUTO_TEST_CASE(rest_of_a_stream_without_an_event_is_not_complete_when_its_connection_ends) {
    const auto head = "HTTP/1.1 200 OK\r\n" + std::string{seal} + "Connection: close\r\n\r\n";
    for (const std::string body : {"", ": waits\n\n", "\r\n: waits\r\n\r\n"}) {
        for (const bool begun : {false, true}) {
            const auto got =
                attempt(repeatability::stream, head + body, after_response::close, begun);
            BOOST_TEST(!got.is_complete, body);
        }
    }
    BOOST_TEST(attempt(repeatability::stream, head + ": waits\n\n" + first_event,
                       after_response::close, true)
                   .is_complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
