#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace jujubemast::tests {

struct odd_method_fixture : gateway_fixture {
    unsigned status_of(const std::string& method, const std::string& target,
                       const std::string& body) const {
        const auto text = send_raw(method + " " + target +
                                   " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: odd\r\n"
                                   "X-Deadline-Ms: 1000\r\nAuthorization: Bearer key-1\r\n"
                                   "Connection: close\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body);
        return text.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(text.substr(9, 3)));
    }
};

BOOST_FIXTURE_TEST_SUITE(odd_method_test, odd_method_fixture)

// Guards against a client that ends the requests of all others: each TRACE request with a body
// ended the forwarder, and a few of them the process.
BOOST_AUTO_TEST_CASE(gateway_after_requests_with_odd_methods_serves_others) {
    const std::string body(40, 'x');
    for (int n = 0; n < 9; ++n) {
        BOOST_TEST(status_of("TRACE", "/read/1", body) == 501U);
        BOOST_TEST(status_of("TRACE", "/post/1", "") == 501U);
    }
    for (const std::string method : {"OPTIONS", "PROPFIND", "DELETE", "PATCH", "X"}) {
        for (const auto& sent : {std::string{}, body}) {
            BOOST_TEST_CONTEXT(method << " with " << sent.size() << " bytes") {
                BOOST_TEST(status_of(method, "/read/1", sent) == 200U);
            }
        }
    }
    BOOST_TEST(gateways[0]->running());
    BOOST_TEST(gateways[0]->log().find("Task failed") == std::string::npos);
    BOOST_TEST(send("GET", "/read/1", "sound").status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
