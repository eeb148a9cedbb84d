#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways that are told that their memory is small, in front of an upstream whose responses
/// are unusual. The path of a request selects the response.
struct hostile_upstreams_fixture : gateway_fixture {
    static constexpr int megabytes = 64;
    static constexpr std::size_t memory_bound = 40'000'000;
    static constexpr int requests = 300;

    raw_response_server upstream{[](const std::string& request) { return response_to(request); }};

    hostile_upstreams_fixture() : gateway_fixture{{1, 1}, 6900, megabytes} {}

    static std::string repeat(const std::string& text, std::size_t bytes) {
        std::string result;
        while (result.size() < bytes) {
            result += text;
        }
        return result;
    }

    static raw_response response_to(const std::string& request) {
        const std::string name = "X-Attempt-Id: ";
        const auto begin = request.find(name);
        const auto head = "HTTP/1.1 200 OK\r\n" +
                          request.substr(begin, request.find("\r\n", begin) - begin) +
                          "\r\nX-Response-Seal: seal\r\n";
        const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
        if (request.find("/fields ") != std::string::npos) {
            return {head + repeat("a:\r\n", 7500) + "Content-Length: 1000000\r\n\r\n", "x", 200ms};
        }
        if (request.find("/trailers ") != std::string::npos) {
            return {head + chunked + "0\r\n", "a:\r\n", 0ms};
        }
        if (request.find("/extension ") != std::string::npos) {
            return {head + chunked + "1;e=", repeat("e", 1000), 0ms};
        }
        if (request.find("/chunks ") != std::string::npos) {
            return {head + chunked, "1;e=" + repeat("e", 1000) + "\r\nx\r\n", 0ms};
        }
        return {head + "Content-Length: 2\r\n\r\nok", "", {}};
    }

    void check_responses(const std::string& path) {
        replace_upstreams("desk", {"d1", "d2"}, {"x1"}, upstream.address());
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> sockets;
        sockets.reserve(requests);
        for (int n = 0; n < requests; ++n) {
            sockets.push_back(open_connection(
                context, "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r" +
                             std::to_string(n) + "\r\nX-Deadline-Ms: 2000\r\n" +
                             "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"));
        }
        wait_until("the requests have ended", [&] {
            return upstream.requests() > requests / 2 && upstream.open_connections() <= 4;
        });
        const auto response = send("POST", "/stream/sound", "sound", {{"X-Model", "m"}});
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(gateways[0]->running());
        BOOST_TEST_MESSAGE("peak memory in bytes: " << peak_memory(0));
        BOOST_TEST(peak_memory(0) < memory_bound);
    }
};

BOOST_FIXTURE_TEST_SUITE(hostile_upstreams_test, hostile_upstreams_fixture)

// Each of these guards against a process that ends for lack of memory because an upstream sends
// what the parser keeps, or what becomes objects several times its size.
BOOST_AUTO_TEST_CASE(gateway_with_responses_of_many_short_fields_stays_within_its_memory) {
    check_responses("/post/fields");
}

BOOST_AUTO_TEST_CASE(gateway_with_responses_of_endless_trailers_stays_within_its_memory) {
    check_responses("/post/trailers");
}

BOOST_AUTO_TEST_CASE(gateway_with_responses_of_an_endless_extension_stays_within_its_memory) {
    check_responses("/post/extension");
}

BOOST_AUTO_TEST_CASE(gateway_with_responses_of_small_chunks_stays_within_its_memory) {
    check_responses("/post/chunks");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
