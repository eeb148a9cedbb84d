#include <mutex>

#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "support/event_loop.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// A client connected to a server that breaks its responses off.
struct truncated_response_fixture {
    /// A complete response.
    struct valid_response {
        std::string name;
        std::string head;
        std::string body_bytes;
        std::string body;
        /// The body ends with the connection.
        bool ends_with_connection = false;
    };

    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> lifecycle = make_lifecycle("test");
    std::mutex mutex;
    raw_response next;
    raw_response_server server{[this](const std::string& /*request*/) {
        const std::lock_guard lock{mutex};
        return next;
    }};
    http::client client{loop.context(lifecycle),
                        http::parse_endpoint(server.address()),
                        {.head_timeout = 5s, .progress_timeout = 5s}};

    static std::vector<valid_response> valid_responses() {
        const std::string chunks = "4;e=1\r\nbody\r\nA\r\n more body\r\n0\r\nX-Trailer: t\r\n\r\n";
        return {
            {"length", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n", "body", "body"},
            {"old version", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", "body", "body"},
            {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", ""},
            {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks,
             "body more body"},
            {"until close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "body", "body", true},
            {"interim",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
             "body", "body"},
            {"no content", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", ""},
            {"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", ""}};
    }

    /// Makes a call to which the server responds with these bytes.
    http::call_result call(const std::string& bytes, after_response after) {
        {
            const std::lock_guard lock{mutex};
            next = {bytes, "", {}, after};
        }
        std::optional<http::call_result> result;
        client.send({"GET", "/", {}, {}}, [&](http::call_result it) { result = std::move(it); },
                    {.idempotent = false});
        BOOST_REQUIRE(loop.run_until([&] { return result.has_value(); }));
        return *result;
    }

    void check_incomplete(const std::string& bytes, after_response after) {
        const auto result = call(bytes, after);
        const auto* error = std::get_if<http::call_error>(&result);
        BOOST_REQUIRE(error != nullptr);
        BOOST_TEST(error->sent);
    }

    void check_complete(const std::string& bytes, const std::string& body) {
        const auto result = call(bytes, after_response::close);
        const auto* response = std::get_if<http::response>(&result);
        BOOST_REQUIRE(response != nullptr);
        BOOST_TEST(response->body == body);
    }
};

BOOST_FIXTURE_TEST_SUITE(truncated_response_test, truncated_response_fixture)

// Guards against a response that breaks off, in its head or body, and is delivered as complete.
BOOST_AUTO_TEST_CASE(response_is_complete_only_when_its_last_byte_has_been_received) {
    for (const auto& it : valid_responses()) {
        const auto bytes = it.head + it.body_bytes;
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            BOOST_TEST_CONTEXT(it.name << " after " << size << " bytes") {
                const auto received = bytes.substr(0, size);
                check_incomplete(received, after_response::reset);
                if (it.ends_with_connection && size >= it.head.size()) {
                    check_complete(received, received.substr(it.head.size()));
                } else {
                    check_incomplete(received, after_response::close);
                }
            }
        }
        BOOST_TEST_CONTEXT(it.name) {
            check_complete(bytes, it.body);
        }
    }
}

// Guards against a body without a length that is cut by a reset and delivered as complete.
BOOST_AUTO_TEST_CASE(response_that_ends_with_its_connection_is_incomplete_after_a_reset) {
    check_incomplete("HTTP/1.1 200 OK\r\n\r\nbody", after_response::reset);
}

// Guards against a body whose end is unknown, because its framing is malformed or contradictory,
// and that is delivered as complete.
BOOST_AUTO_TEST_CASE(response_whose_framing_is_malformed_is_not_complete) {
    for (const std::string fields :
         {"Content-Length: 5", "Content-Length: -4", "Content-Length: +4", "Content-Length: 0x4",
          "Content-Length: 4.0", "Content-Length: four", "Content-Length: 4,5",
          "Content-Length: 18446744073709551616", "Content-Length: 99999999999999999999999",
          "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 5\r\nContent-Length: 4",
          "Content-Length: 4\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 4", "Transfer-Encoding: chunked",
          "Content-Length : 4", " Content-Length: 4", "Transfer-Encoding: gzip",
          "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip"}) {
        BOOST_TEST_CONTEXT(fields) {
            check_incomplete("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nbody",
                             after_response::close);
        }
    }
}

BOOST_AUTO_TEST_CASE(response_whose_chunks_are_malformed_is_not_complete) {
    for (const std::string chunks :
         {"-4\r\nbody\r\n0\r\n\r\n", "g\r\nbody\r\n0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n",
          "5\r\nbody\r\n0\r\n\r\n", "4\nbody\n0\n\n", "\r\n\r\n", "4\r\nbody\r\n-0\r\n\r\n",
          "4\r\nbody\r\n0\r\nno trailer\r\n\r\n", "FFFFFFFFFFFFFFFFF\r\nbody\r\n0\r\n\r\n",
          "10000000000000004\r\nbody\r\n0\r\n\r\n"}) {
        BOOST_TEST_CONTEXT(chunks) {
            check_incomplete("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
                             after_response::close);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
