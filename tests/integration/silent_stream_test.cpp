#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways whose only model engine is silent for a while after the first event of a stream.
/// The callers wait 4.8 s for an event, and the gateway looks for another engine after half of
/// that.
struct silent_stream_fixture : gateway_fixture {
    raw_response_server engine{[](const std::string& request) { return respond(request); }};

    static std::string chunk(const std::string& bytes) {
        constexpr std::array<char, 17> digits{"0123456789abcdef"};
        const auto n = bytes.size();
        return std::string{digits.at(n / 16), digits.at(n % 16)} + "\r\n" + bytes + "\r\n";
    }

    static raw_response respond(const std::string& request) {
        const std::string name = "X-Attempt-Id: ";
        const auto begin = request.find(name);
        const auto head = "HTTP/1.1 200 OK\r\n" +
                          request.substr(begin, request.find("\r\n", begin) - begin) +
                          "\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";
        std::string rest;
        for (int id = 2; id <= 5; ++id) {
            rest += chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
        }
        return {head + chunk("id: 1\ndata: x\n\n"), rest + "0\r\n\r\n", 3000ms};
    }

    silent_stream_fixture() {
        replace_upstreams("engines", {"e1", "e2"}, {"x1"}, engine.address());
    }
};

BOOST_FIXTURE_TEST_SUITE(silent_stream_test, silent_stream_fixture)

// Guards against a stream of a silent but sound engine that is cut while its caller waits, although
// no other engine can continue it.
BOOST_AUTO_TEST_CASE(stream_that_no_other_engine_can_continue_is_not_cut) {
    const auto response = send("POST", "/stream/1", "silent", {{"X-Model", "m"}});
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == all_events());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
