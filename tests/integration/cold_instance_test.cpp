#include <regex>

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

/// Two gateways and one instance, which tolerates 5 requests in any second while it is cold.
struct cold_instance_fixture : gateway_fixture {
    static constexpr std::size_t tolerated = 5;

    raw_response_server instance{[](const std::string& request) { return respond(request); }};

    static raw_response respond(const std::string& request) {
        const auto begin = request.find("X-Attempt-Id: ");
        return {"HTTP/1.1 200 OK\r\n" + request.substr(begin, request.find("\r\n", begin) - begin) +
                    "\r\nX-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok",
                ""};
    }

    void set_cold(int cold_left_ms) const {
        auto entry = upstream_entry("fragile", instance.address());
        entry["cold_left_ms"] = cold_left_ms;
        set_upstream_bytes("f1", boost::json::serialize(entry));
    }

    /// Waits until the state dump of each gateway contains the text.
    void wait_for_state(const std::string& text) const {
        for (const auto& it : gateways) {
            const auto admin = it->listening_address("jujubemast-gateway/admin/listener");
            wait_until("the state has " + text, [&] {
                const auto state = call(admin, {"GET", "/dump", {}, {}}).body;
                return state.find(text) != std::string::npos;
            });
        }
    }

    /// Returns the times in ms at which the gateways decided to send a request to the instance.
    std::vector<std::int64_t> send_times() const {
        static const std::regex line{
            R"(T(\d+):(\d+):(\d+)\.(\d+) \S+ +forwarder: Sent\. .*upstream=f1)"};
        std::vector<std::int64_t> result;
        for (const auto& gateway : gateways) {
            const auto log = gateway->log();
            for (std::sregex_iterator it{log.begin(), log.end(), line}, end; it != end; ++it) {
                const auto part = [&](std::size_t n) { return std::stoll((*it)[n].str()); };
                result.push_back(((part(1) * 60 + part(2)) * 60 + part(3)) * 1000 + part(4));
            }
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    static std::string request(int n) {
        return "GET /fragile/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f" + std::to_string(n) +
               "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
               "Connection: close\r\n\r\n";
    }
};

BOOST_FIXTURE_TEST_SUITE(cold_instance_test, cold_instance_fixture)

// Guards against an instance that crashes because both gateways together send more than it
// tolerates while it is cold.
BOOST_AUTO_TEST_CASE(cold_instance_of_two_gateways_gets_no_more_requests_than_it_tolerates) {
    set_cold(600'000);
    wait_for_state(R"("id":"f1")");
    wait_for_state(R"("warm_up_share":"full")");
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    constexpr int caller_count = 20;
    callers.reserve(caller_count);
    for (int n = 0; n < caller_count; ++n) {
        callers.push_back(open_connection(context, request(n), n % 2));
    }
    for (auto& it : callers) {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read(it, boost::asio::dynamic_buffer(text), ec);
    }
    const auto sent = send_times();
    BOOST_TEST(sent.size() > tolerated);
    for (std::size_t n = tolerated; n < sent.size(); ++n) {
        BOOST_TEST(sent[n] - sent[n - tolerated] >= 1000);
    }
    BOOST_TEST(gateways[0]->log().find("cause=cold") != std::string::npos);
    // Without the limit further requests are served at once.
    set_cold(0);
    for (std::size_t n = 0; n < gateways.size(); ++n) {
        wait_until("the instance is warm", [&] {
            return gateways[n]->log().find("The instance is no longer cold.") != std::string::npos;
        });
        BOOST_TEST(send("GET", "/fragile/1", "warm", {}, n).status == 200U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
