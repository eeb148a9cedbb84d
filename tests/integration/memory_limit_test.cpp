#include <future>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways on instances with little memory, in front of an upstream whose responses never end.
/// The path of a request selects the response.
struct memory_limit_fixture : gateway_fixture {
    static constexpr int megabytes = 64;
    static constexpr std::size_t memory = std::size_t{megabytes} * 1'000'000;

    raw_response_server upstream{[](const std::string& request) { return response_to(request); }};

    memory_limit_fixture() : gateway_fixture{{1, 1}, 6900, megabytes} {}

    static std::string response_head(const std::string& request) {
        const std::string name = "X-Attempt-Id: ";
        const auto begin = request.find(name);
        return "HTTP/1.1 200 OK\r\n" + request.substr(begin, request.find("\r\n", begin) - begin) +
               "\r\nX-Response-Seal: seal\r\n";
    }

    static raw_response response_to(const std::string& request) {
        const auto head = response_head(request);
        if (request.find("/small ") != std::string::npos) {
            return {head + "Content-Length: 1000000\r\n\r\n" + std::string(60'000, 'x'), "x",
                    200ms};
        }
        if (request.find("/large ") != std::string::npos) {
            return {head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n8 bytes.\r\n", 0ms};
        }
        return {head + "Content-Length: 2\r\n\r\nok", "", {}};
    }

    static std::string request_bytes(const std::string& target, int n) {
        return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + target +
               std::to_string(n) + "\r\nX-Deadline-Ms: 5000\r\n" +
               "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
    }

    /// Sends requests on connections that do not read until all are sent. Returns them.
    std::vector<boost::asio::ip::tcp::socket>
    send_many(boost::asio::io_context& context, const std::string& target, int count) const {
        std::vector<boost::asio::ip::tcp::socket> sockets;
        sockets.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            sockets.push_back(open_connection(context, request_bytes(target, n)));
        }
        return sockets;
    }

    /// Checks that the first gateway has not exceeded its memory and that another service works.
    void check_gateway_is_sound() const {
        BOOST_TEST_MESSAGE("peak memory in bytes: " << peak_memory(0));
        BOOST_TEST(peak_memory(0) < memory);
        BOOST_TEST(gateways[0]->running());
        const auto response = send("POST", "/stream/sound", "sound", {{"X-Model", "m"}});
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == all_events());
    }
};

BOOST_FIXTURE_TEST_SUITE(memory_limit_test, memory_limit_fixture)

// Guards against a process that ends for lack of memory, with the requests of all callers, because
// a faulty upstream sends bodies without an end.
BOOST_AUTO_TEST_CASE(gateway_with_endless_bodies_stays_within_its_memory) {
    replace_upstreams("desk", {"d1", "d2"}, {"x1"}, upstream.address());
    boost::asio::io_context context;
    const auto small = send_many(context, "/post/small", 900);
    const auto large = send_many(context, "/post/large", 40);
    check_gateway_is_sound();
    wait_until("all responses have ended", [&] { return upstream.open_connections() <= 4; });
    BOOST_TEST(upstream.requests() > 450U);
    check_gateway_is_sound();
}

// Guards against the same end for large requests that arrive together: requests that had been
// passed on ended without an answer.
BOOST_AUTO_TEST_CASE(gateway_with_large_requests_stays_within_its_memory_and_answers_all) {
    constexpr std::size_t body_bytes = 2'000'000;
    replace_upstreams("desk", {"d1", "d2"}, {"x1"}, upstream.address());
    constexpr int request_count = 30;
    std::vector<std::future<received_response>> responses;
    responses.reserve(request_count);
    for (int n = 0; n < request_count; ++n) {
        responses.push_back(std::async(std::launch::async, [this, n] {
            return receive(addresses[0], {"POST",
                                          "/post/small",
                                          {{"Host", "a.example"},
                                           {"X-Attempt-Id", "large-" + std::to_string(n)},
                                           {"X-Deadline-Ms", "3000"},
                                           {"Authorization", "Bearer key-1"}},
                                          std::string(body_bytes, 'b')});
        }));
    }
    std::size_t refused = 0;
    for (auto& it : responses) {
        const auto response = it.get();
        BOOST_TEST((response.status == 503U || response.status == 504U),
                   response.status << " " << response.body);
        refused += response.status == 503U ? 1 : 0;
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused < responses.size());
    check_gateway_is_sound();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
