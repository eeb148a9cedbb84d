#include <filesystem>
#include <iterator>

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

#include "gateway_fixture.h"
#include "support/flooding_client.h"

namespace jujubemast::tests {

/// Lets processes that are started while it exists open fewer descriptors.
class lowered_descriptor_limit {
public:
    explicit lowered_descriptor_limit(rlim_t limit) {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        auto lowered = m_former;
        lowered.rlim_cur = limit;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~lowered_descriptor_limit() { restore(); }
    lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit& operator=(const lowered_descriptor_limit&) = delete;

    void restore() const { ::setrlimit(RLIMIT_NOFILE, &m_former); }

private:
    rlimit m_former{};
};

/// Two gateways that may open few descriptors and are told that their memory is small. The clients
/// flood the first one.
struct hostile_clients_fixture : lowered_descriptor_limit, gateway_fixture {
    static constexpr rlim_t descriptor_limit = 256;
    /// Descriptors that callers must leave to connections to the store, upstreams and gateways.
    static constexpr std::size_t reserved_descriptors = 48;
    static constexpr int megabytes = 64;
    /// A third of the memory of the smallest machine. A gateway without load uses 13 MB.
    static constexpr std::size_t memory_bound = 40'000'000;
    static constexpr int clients = 6;
    static constexpr std::size_t bytes_of_client = 16'000'000;
    static constexpr const char* post = "POST /post/flood HTTP/1.1\r\nHost: a.example\r\n"
                                        "X-Attempt-Id: flood\r\nX-Deadline-Ms: 5000\r\n"
                                        "Authorization: Bearer key-1\r\n";

    hostile_clients_fixture()
        : lowered_descriptor_limit{descriptor_limit}, gateway_fixture{{1, 1}, 6900, megabytes} {
        restore();
    }

    static std::string chunked_post() {
        return std::string{post} + "Transfer-Encoding: chunked\r\n\r\n";
    }

    [[nodiscard]] http::endpoint callers() const { return http::parse_endpoint(addresses[0]); }

    [[nodiscard]] std::size_t open_descriptors() const {
        const auto folder = "/proc/" + std::to_string(gateways[0]->id()) + "/fd";
        return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator{folder},
                                                      std::filesystem::directory_iterator{}));
    }

    /// Checks that the first gateway is alive, has stayed within the bounds and answers a request.
    void check_gateway_is_sound() const {
        const auto response = send("GET", "/read/sound", "sound");
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.complete);
        BOOST_TEST(gateways[0]->running());
        BOOST_TEST_MESSAGE("peak memory in bytes: " << peak_memory(0)
                                                    << ", descriptors: " << open_descriptors());
        BOOST_TEST(peak_memory(0) < memory_bound);
        BOOST_TEST(open_descriptors() <= descriptor_limit - reserved_descriptors);
    }

    void check_flood(const flood& content, const http::endpoint& server) const {
        client_connections connections;
        const auto sent = connections.send_flood(server, clients, content, bytes_of_client);
        BOOST_TEST_MESSAGE("bytes sent: " << sent);
        check_gateway_is_sound();
    }

    void check_flood(const flood& content) const { check_flood(content, callers()); }

    /// Writes a configuration with these limits and waits until it is in force.
    void set_limits(const boost::json::object& limits) const {
        auto document =
            boost::json::parse(call(store_address, {"GET", "/configuration", {}, {}}).body);
        document.as_object()["version"] = 2;
        document.as_object()["limits"] = limits;
        call(store_address, {"POST", "/configuration-bytes", {}, boost::json::serialize(document)});
        wait_until("the limits are in force", [&] {
            const auto log = gateways[0]->log();
            return log.find("Configuration in force. version=2") != std::string::npos;
        });
    }

    /// The address of the first gateway for other gateways.
    [[nodiscard]] http::endpoint peers() const {
        std::ifstream file{directory + "/g0.yaml"};
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        const std::string name = "peers:\n  listen: ";
        const auto begin = text.find(name) + name.size();
        return http::parse_endpoint(text.substr(begin, text.find('\n', begin) - begin));
    }

    /// What a ZeroMQ DEALER socket sends first (ZMTP 3.0 without security), as in
    /// https://rfc.zeromq.org/spec/23.
    static std::string zmtp_handshake() {
        std::string text{"\xff\0\0\0\0\0\0\0\0\x7f\3\0NULL", 16};
        text.resize(64);
        const std::string ready{"\5READY\13Socket-Type\0\0\0\6DEALER", 28};
        return text + "\4" + static_cast<char>(ready.size()) + ready;
    }

    /// The head of a ZMTP frame with an eight-byte length.
    static std::string zmtp_frame_head(std::uint64_t size, bool more) {
        std::string text{more ? '\3' : '\2'};
        for (int shift = 56; shift >= 0; shift -= 8) {
            text += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU);
        }
        return text;
    }

    /// Returns the status of the response to raw bytes.
    [[nodiscard]] std::string status_of(const std::string& bytes) const {
        const auto answer = send_raw(bytes);
        return answer.starts_with("HTTP/1.1 ") ? answer.substr(9, 3) : answer;
    }

    static std::string ordinary_post(const std::string& fields, const std::string& body) {
        return std::string{post} + "Connection: close\r\n" + fields + "\r\n" + body;
    }
};

BOOST_FIXTURE_TEST_SUITE(hostile_clients_test, hostile_clients_fixture)

// Each of these guards against a process that ends for lack of memory, with the requests of all
// callers, because the parser keeps whatever a client sends until the element is complete.
BOOST_AUTO_TEST_CASE(gateway_with_endless_trailer_fields_stays_within_its_memory) {
    check_flood(
        {chunked_post() + "1\r\nx\r\n0\r\n", "X-Trailer: " + std::string(100, 't') + "\r\n"});
}

BOOST_AUTO_TEST_CASE(gateway_with_an_endless_trailer_line_stays_within_its_memory) {
    check_flood({chunked_post() + "1\r\nx\r\n0\r\nX-Trailer: ", std::string(1000, 't')});
}

BOOST_AUTO_TEST_CASE(gateway_with_endless_short_trailers_stays_within_its_memory) {
    check_flood({chunked_post() + "1\r\nx\r\n0\r\n", "a:\r\n"});
}

// Each short field becomes an object several times its size, and requests with them may be many.
BOOST_AUTO_TEST_CASE(gateway_with_requests_of_many_short_trailers_stays_within_its_memory) {
    std::string request = chunked_post() + "1\r\nx\r\n0\r\n";
    for (int n = 0; n < 250'000; ++n) {
        request += "a:\r\n";
    }
    check_flood({"", request + "\r\n"});
}

BOOST_AUTO_TEST_CASE(gateway_with_an_endless_chunk_extension_stays_within_its_memory) {
    check_flood({chunked_post() + "1;e=", std::string(1000, 'e')});
}

BOOST_AUTO_TEST_CASE(gateway_with_one_byte_chunks_with_extensions_stays_within_its_memory) {
    check_flood({chunked_post(), "1;e=" + std::string(100, 'e') + "\r\nx\r\n"});
}

BOOST_AUTO_TEST_CASE(gateway_with_endless_header_fields_stays_within_its_memory) {
    check_flood({post, "X-Field: " + std::string(100, 'f') + "\r\n"});
}

BOOST_AUTO_TEST_CASE(gateway_with_an_endless_start_line_stays_within_its_memory) {
    check_flood({"GET /", std::string(1000, 'p')});
}

BOOST_AUTO_TEST_CASE(gateway_with_pipelined_requests_stays_within_its_memory) {
    check_flood({"", "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: p\r\n"
                     "Authorization: Bearer key-1\r\n\r\n"});
}

BOOST_AUTO_TEST_CASE(gateway_with_requests_that_expect_and_send_no_body_stays_within_its_memory) {
    client_connections connections;
    connections.open(callers(), 100,
                     std::string{post} + "Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n");
    check_gateway_is_sound();
}

BOOST_AUTO_TEST_CASE(gateway_with_random_bytes_stays_within_its_memory) {
    const auto random = common::seeded_random(20261206);
    std::string bytes;
    for (int n = 0; n < 4096; ++n) {
        bytes += static_cast<char>(common::uniform_below(random, 256));
    }
    check_flood({"", bytes});
}

// The same for the ports for readiness checks and for operators, which the same network may reach.
BOOST_AUTO_TEST_CASE(gateway_with_endless_trailers_at_its_other_ports_stays_within_its_memory) {
    const flood content{
        "POST /ready HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Trailer: " + std::string(100, 't') + "\r\n"};
    check_flood(content, http::parse_endpoint(ready_addresses[0]));
    check_flood(content, http::parse_endpoint(
                             gateways[0]->listening_address("jujubemast-gateway/admin/listener")));
}

// The same for the port for other gateways: a frame of any length, and messages of any number of
// frames.
BOOST_AUTO_TEST_CASE(
    gateway_with_an_endless_frame_at_its_port_for_gateways_stays_within_its_memory) {
    check_flood(
        {zmtp_handshake() + zmtp_frame_head(1'000'000'000, false), std::string(1000, 'x'), true},
        peers());
}

BOOST_AUTO_TEST_CASE(gateway_with_endless_frames_at_its_port_for_gateways_stays_within_its_memory) {
    check_flood({zmtp_handshake(), zmtp_frame_head(1000, true) + std::string(1000, 'x'), true},
                peers());
}

BOOST_AUTO_TEST_CASE(
    gateway_with_unknown_messages_at_its_port_for_gateways_stays_within_its_memory) {
    check_flood({zmtp_handshake(), zmtp_frame_head(1000, false) + std::string(1000, 'x'), true},
                peers());
}

BOOST_AUTO_TEST_CASE(gateway_with_large_messages_at_its_port_for_gateways_stays_within_its_memory) {
    check_flood(
        {zmtp_handshake(), zmtp_frame_head(1'000'000, false) + std::string(1'000'000, 'x'), true},
        peers());
}

// Guards against clients whose open connections leave no descriptor for ordinary callers, the store
// and upstreams.
BOOST_AUTO_TEST_CASE(gateway_with_many_open_connections_keeps_descriptors_for_ordinary_callers) {
    client_connections connections;
    connections.open(callers(), 400, "GET /read/1 HTTP/1.1\r\nHost: a.exa");
    check_gateway_is_sound();
    connections.open(callers(), 400, "");
    check_gateway_is_sound();
    connections.open(http::parse_endpoint(ready_addresses[0]), 400, "GET /rea");
    check_gateway_is_sound();
}

// The same for connections to the port for other gateways.
BOOST_AUTO_TEST_CASE(gateway_with_many_connections_at_its_port_for_gateways_keeps_descriptors) {
    client_connections connections;
    connections.open(peers(), 400, zmtp_handshake());
    check_gateway_is_sound();
}

// Guards against limits that the operator has set and the gateway ignores.
BOOST_AUTO_TEST_CASE(gateway_with_caller_limits_in_its_configuration_refuses_what_exceeds_them) {
    set_limits({{"max_header_bytes", 2000},
                {"max_body_bytes", 3000},
                {"header_timeout_ms", 300},
                {"idle_timeout_ms", 15000}});
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string large(4000, 'x');
    BOOST_TEST(status_of(ordinary_post("Content-Length: 1\r\n", "x")) == "200");
    BOOST_TEST(status_of(ordinary_post("X: " + large + "\r\n", "")) == "431");
    BOOST_TEST(status_of(ordinary_post(chunked, "1\r\nx\r\n0\r\nX: " + large + "\r\n\r\n")) ==
               "431");
    BOOST_TEST(status_of(ordinary_post("Content-Length: 4000\r\n", large)) == "413");
    BOOST_TEST(status_of(ordinary_post(chunked, "fa0\r\n" + large + "\r\n0\r\n\r\n")) == "413");
    BOOST_TEST(status_of("GET /read/1 HTTP/1.1\r\nHost: a.exa") == "408");
    check_gateway_is_sound();
}

// Guards against a limit that refuses clients which send slowly or in an unusual form, and against
// a request that is passed on although its body turns out to be malformed.
BOOST_AUTO_TEST_CASE(gateway_with_odd_requests_serves_the_valid_ones_and_passes_on_no_other) {
    std::string bytes;
    for (int n = 0; n < 20'000; ++n) {
        bytes += "1\r\nx\r\n";
    }
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    BOOST_TEST(status_of(ordinary_post(chunked, bytes + "0\r\n\r\n")) == "200");
    BOOST_TEST(status_of(ordinary_post(chunked, "4;name=value\r\nbody\r\n0\r\nX-T: t\r\n\r\n")) ==
               "200");
    const auto before = records("flood").size();
    BOOST_TEST(before == 2U);
    BOOST_TEST(status_of(ordinary_post(chunked, bytes + "zz\r\n")) == "400");
    BOOST_TEST(status_of(ordinary_post(chunked, bytes + "1\r\nxxx\r\n")) == "400");
    BOOST_TEST(records("flood").size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
