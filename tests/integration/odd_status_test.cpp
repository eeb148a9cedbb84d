#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

/// Gateways in front of upstreams that answer with a status that does not exist. The body of such
/// an answer is itself a valid answer. The path of a request, or the key of a piece, has the
/// status.
struct odd_status_fixture : gateway_fixture {
    static constexpr std::array<const char*, 4> statuses{"000", "099", "600", "999"};

    raw_response_server upstream{[this](const std::string& request) { return respond(request); }};

    std::string valid_response(const std::string& request) const {
        const auto field = [&](const std::string& name) {
            const auto begin = request.find(name + ": ");
            return begin == std::string::npos
                       ? std::string{}
                       : request.substr(begin, request.find("\r\n", begin) + 2 - begin);
        };
        const auto with_length = [](const std::string& head, const std::string& body) {
            return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        if (request.find("/stage-run") < 10) {
            return with_length("HTTP/1.1 200 OK\r\n",
                               R"({"entries":[{"handle":")" + upstream.address() + R"(/1"}]})");
        }
        if (request.find("GET /report") == 0) {
            return with_length("HTTP/1.1 200 OK\r\n", R"({"busy":0,"queued":0,"free_mb":1})");
        }
        const bool is_stream = request.find("X-Model") != std::string::npos;
        return with_length("HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n" + field("X-Attempt-Id"),
                           is_stream ? all_events() : "smuggled");
    }

    raw_response respond(const std::string& request) const {
        const auto valid = valid_response(request);
        const auto at = request.find("status-");
        if (at == std::string::npos) {
            return {valid, "", {}};
        }
        return {"HTTP/1.1 " + request.substr(at + 7, 3) +
                    " X\r\nContent-Length: " + std::to_string(valid.size()) + "\r\n\r\n" + valid,
                "",
                {}};
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_status_test, odd_status_fixture)

// Guards against a caller that gets as its answer what stood in the body of a response without a
// valid status.
BOOST_AUTO_TEST_CASE(answer_with_an_invalid_status_reaches_no_caller) {
    replace_upstreams("desk", {"d1", "d2"}, {"x1"}, upstream.address());
    replace_upstreams("engines", {"e1", "e2"}, {"x2"}, upstream.address());
    for (const std::string status : statuses) {
        BOOST_TEST_CONTEXT("status " << status) {
            // A safe request uses the connection that the one before has left.
            BOOST_TEST(send("GET", "/read/1", "sound-" + status).status == 200U);
            const auto path = "/1-status-" + status;
            for (const auto& it :
                 {send("GET", "/read" + path, "safe-" + status),
                  send("POST", "/post" + path, "unsafe-" + status),
                  send("POST", "/stream" + path, "stream-" + status, {{"X-Model", "m"}}),
                  send("POST", "/talk" + path, "talk-" + status, {{"X-Model", "m"}})}) {
                BOOST_TEST(it.status >= 500U);
                BOOST_TEST(it.status < 600U);
                BOOST_TEST(it.body.find("smuggled") == std::string::npos);
                BOOST_TEST(it.body.find("data:") == std::string::npos);
            }
        }
    }
}

// Guards against a stage whose results are those in the body of a response without a valid status.
BOOST_AUTO_TEST_CASE(stage_call_with_an_invalid_status_makes_no_results) {
    replace_upstreams("slow-stages", {"s2"}, {"x3"}, upstream.address());
    for (const std::string status : statuses) {
        BOOST_TEST_CONTEXT("status " << status) {
            BOOST_TEST(send_staged("sound-" + status, "k", 0).status == 200U);
            BOOST_TEST(send_staged("staged-" + status, "status-" + status, 0).status >= 500U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
