#include <list>

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include "support/child_process.h"
#include "unit/http/server_fixture.h"

namespace jujubemast::tests {

/// Lets this process open no further file descriptors while it exists.
class descriptor_limit {
public:
    descriptor_limit() {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        auto limit = m_former;
        // Every new descriptor is at least as large as the lowest free one.
        const int lowest_free = ::dup(0);
        ::close(lowest_free);
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit m_former{};
};

BOOST_FIXTURE_TEST_SUITE(server_test, server_fixture)

// Guards against clients that get no clear response to an unreadable request, or lose the response
// because the server closes the connection while they are still sending.
BOOST_AUTO_TEST_CASE(server_when_request_is_malformed_or_oversized_answers_4xx_and_closes) {
    const auto server = start();
    const std::string large(std::size_t{1024} * 1024, 'x');
    const std::vector<std::pair<std::string, std::string>> cases{
        {"nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "HTTP/1.1 400"},
        {post("Content-Length: -1\r\n", ""), "HTTP/1.1 400"},
        {post("Content-Length: 1\r\nContent-Length: 2\r\n", "x"), "HTTP/1.1 400"},
        {post("Transfer-Encoding: chunked\r\n", "zz\r\n"), "HTTP/1.1 400"},
        {post("X: " + std::string(4096, 'x') + "\r\n", ""), "HTTP/1.1 431"},
        {post("Content-Length: 1048576\r\n", large), "HTTP/1.1 413"},
        {post("Content-Length: 99999999999\r\n", ""), "HTTP/1.1 413"},
        {post("Transfer-Encoding: chunked\r\n", "100000\r\n" + large), "HTTP/1.1 413"}};
    for (const auto& [text, status] : cases) {
        raw_client client{server};
        const auto response = client.send(text).read();
        BOOST_TEST(response.substr(0, status.size()) == status, text.substr(0, 60));
        BOOST_TEST(response.find("not_run") != std::string::npos);
        BOOST_TEST(client.closed());
    }
    BOOST_TEST(handled == 0);
}

// Guards against a limit of the header that counts only the bytes that are not parsed yet: a header
// that arrives in segments of one field could then go on without an end.
BOOST_AUTO_TEST_CASE(server_when_header_fields_arrive_one_by_one_answers_431_at_the_limit) {
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client client{server};
    client.send("GET / HTTP/1.1\r\n");
    for (std::size_t sent = 0; sent < 2 * options.limits.max_header_bytes; sent += 100) {
        client.send("X-Field: " + std::string(89, 'f') + "\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    client.send("\r\n");
    BOOST_TEST(client.read().starts_with("HTTP/1.1 431"));
    BOOST_TEST(handled == 0);
}

// Guards against trailer fields that are taken for fields of the header, for example to replace
// those that authenticate a request.
BOOST_AUTO_TEST_CASE(server_when_request_has_trailers_does_not_pass_them_on) {
    const auto server = start();
    raw_client client{server};
    const auto answer =
        client.send(post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\nX-Trailer: t\r\n\r\n"))
            .read("ok 1");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(http::find_header(last_fields, "Host") == "h");
    BOOST_TEST(http::find_header(last_fields, "X-Trailer").empty());
}

// Guards against trailers and chunk extensions that are accepted although they are longer than a
// header may be.
BOOST_AUTO_TEST_CASE(server_when_trailers_or_chunk_extensions_are_too_long_refuses_the_request) {
    const auto server = start();
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string text(options.limits.max_header_bytes, 't');
    std::string short_trailers;
    for (std::size_t n = 0; n < options.limits.max_header_bytes; n += 4) {
        short_trailers += "a:\r\n";
    }
    std::string extensions;
    for (std::size_t n = 0; n < options.limits.max_body_bytes; n += 16) {
        extensions += "1;e=" + std::string(100, 'e') + "\r\nx\r\n";
    }
    const std::vector<std::pair<std::string, std::string>> cases{
        {"1\r\nx\r\n0\r\nX-Trailer: " + text + "\r\n\r\n", "431"},
        {"1\r\nx\r\n0\r\nX-Trailer: " + text + text, "431"},
        {"1\r\nx\r\n0\r\n" + short_trailers + "\r\n", "431"},
        {"0\r\n" + short_trailers, "431"},
        {"1;e=" + text + text, "413"},
        {"1;e=" + text + text + "\r\nx\r\n0\r\n\r\n", "413"},
        {extensions + "0\r\n\r\n", "413"}};
    for (const auto& [body, status] : cases) {
        BOOST_TEST_CONTEXT(body.substr(0, 30)) {
            raw_client client{server};
            const auto answer = client.send(post(chunked, body)).read();
            BOOST_TEST(answer.starts_with("HTTP/1.1 " + status), answer.substr(0, 40));
            BOOST_TEST(answer.find("not_run") != std::string::npos);
        }
    }
    BOOST_TEST(handled == 0);
}

// Guards against a limit of the framing that refuses a valid body in the smallest chunks.
BOOST_AUTO_TEST_CASE(server_when_body_has_chunks_of_one_byte_accepts_it_up_to_the_limit) {
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    std::string body;
    for (std::size_t n = 0; n < options.limits.max_body_bytes; ++n) {
        body += "1\r\nx\r\n";
    }
    raw_client client{server};
    const auto answer =
        client.send(post("Transfer-Encoding: chunked\r\n", body + "0\r\n\r\n")).read("ok 4096");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

// Guards against connections that are kept open by requests which never arrive completely.
BOOST_AUTO_TEST_CASE(server_when_request_arrives_too_slowly_answers_408_and_closes) {
    const auto server = start();
    for (const auto& text : {std::string{"POST / HT"}, post("Content-Length: 10\r\n", "x")}) {
        raw_client client{server};
        BOOST_TEST(client.send(text).read().starts_with("HTTP/1.1 408"));
        BOOST_TEST(client.closed());
    }
    raw_client silent{server};
    BOOST_TEST(silent.read().empty());
    BOOST_TEST(silent.closed());
}

// Guards against a slow second request being granted the longer timeout of idle connections.
BOOST_AUTO_TEST_CASE(server_when_second_request_is_slow_answers_408) {
    const auto server = start();
    raw_client client{server};
    BOOST_TEST(client.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
    const auto begin = common::monotonic_clock::now();
    BOOST_TEST(client.send("GET /").read().starts_with("HTTP/1.1 408"));
    BOOST_TEST((common::monotonic_clock::now() - begin < options.limits.idle_timeout));
}

BOOST_AUTO_TEST_CASE(server_when_requests_are_pipelined_answers_each) {
    const auto server = start();
    raw_client client{server};
    std::string text;
    for (const int size : {1, 2, 3}) {
        text += post("Content-Length: " + std::to_string(size) + "\r\n", std::string(size, 'x'));
    }
    const auto responses = client.send(text).read("ok 3");
    BOOST_TEST(responses.find("ok 1") < responses.find("ok 2"));
    BOOST_TEST(responses.find("ok 2") < responses.find("ok 3"));
}

// Guards against a body that stands where the response to the next request is due: the response to
// HEAD has none.
BOOST_AUTO_TEST_CASE(server_when_the_method_is_head_sends_no_body) {
    const auto server = start();
    raw_client client{server};
    const auto text =
        client.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + post("Content-Length: 3\r\n", "xxx"))
            .read("ok 3");
    BOOST_TEST(text.starts_with("HTTP/1.1 200"));
    BOOST_TEST(text.find("Content-Length: 4") != std::string::npos);
    BOOST_TEST(text.find("ok 0") == std::string::npos);
    BOOST_TEST(text.substr(text.find("\r\n\r\n") + 4).starts_with("HTTP/1.1 200"));
}

// Guards against a response that is lost because the connection is closed with bytes of the next
// request unread, which resets it.
BOOST_AUTO_TEST_CASE(server_when_closing_before_a_pipelined_request_does_not_reset_the_connection) {
    const auto server = start();
    raw_client client{server};
    client.send("GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    client.send(good_request);
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    answer_held();
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    BOOST_TEST(client.pending_error() == 0);
    BOOST_TEST(client.read().find("held") != std::string::npos);
}

// Guards against a client that does not read its response and so occupies the server's memory.
BOOST_AUTO_TEST_CASE(server_when_streamed_response_exceeds_the_buffer_closes_the_connection) {
    chunk_count = 2000;
    options.limits.write_timeout = std::chrono::hours{1};
    const auto server = start();
    raw_client client{server};
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the connection is closed", [&] { return disconnects == 1; });
}

// Guards against a body that is run as a request: the parser takes a message with another transfer
// coding to have no body.
BOOST_AUTO_TEST_CASE(
    server_when_the_transfer_coding_is_not_chunked_refuses_the_request_and_closes) {
    const auto server = start();
    for (const auto& [coding, status] : std::vector<std::pair<std::string, std::string>>{
             {"gzip", "400"},
             {"identity", "400"},
             {"chunked, gzip", "400"},
             {"xchunked", "400"},
             {"chunked;a=b", "400"},
             {"", "400"},
             {"chunked\r\nTransfer-Encoding: gzip", "400"},
             {"gzip, chunked", "501"},
             {"gzip\r\nTransfer-Encoding: chunked", "501"},
             {"chunked, chunked", "501"}}) {
        BOOST_TEST_CONTEXT(coding) {
            raw_client client{server};
            client.send(post("Transfer-Encoding: " + coding + "\r\n", good_request));
            const auto answer = client.read();
            BOOST_TEST(answer.starts_with("HTTP/1.1 " + status), answer);
            BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos, answer);
            BOOST_TEST(client.closed());
        }
    }
    BOOST_TEST(handled == 0);
    raw_client client{server};
    const auto answer =
        client.send(post("Transfer-Encoding: Chunked\r\n", "2\r\nok\r\n0\r\n\r\n")).read("ok 2");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
}

// Guards against a client that stops reading and keeps its request open indefinitely.
BOOST_AUTO_TEST_CASE(server_when_streamed_response_is_not_read_in_time_closes_the_connection) {
    chunk_count = 2000;
    options.limits.max_buffered_bytes = std::size_t{1024} * 1024 * 1024;
    const auto server = start();
    raw_client client{server};
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the connection is closed", [&] { return disconnects == 1; });
}

// Guards against a process that ends for lack of memory because large requests arrive together:
// each of them stays within the limit of its connection.
BOOST_AUTO_TEST_CASE(server_without_memory_for_a_body_refuses_the_request_and_recovers) {
    options.limits.request_buffer_bytes = std::size_t{16} * 1024;
    options.limits.read_timeout = std::chrono::seconds{5};
    const auto server = start();
    const std::string body(4000, 'b');
    const auto held = "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + body;
    std::list<raw_client> clients;
    for (int n = 1; n <= 3; ++n) {
        clients.emplace_back(server).send(held);
        wait_until("the request is handled", [&] { return handled == n; });
    }
    for (const auto& large :
         {held, post("Transfer-Encoding: chunked\r\n", "fa0\r\n" + body + "\r\n0\r\n\r\n")}) {
        raw_client refused{server};
        const auto answer = refused.send(large).read();
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
        BOOST_TEST(answer.find("Retry-After: 1") != std::string::npos, answer);
        BOOST_TEST(refused.closed());
    }
    BOOST_TEST(handled == 3);
    raw_client small{server};
    BOOST_TEST(
        small.send(post("Content-Length: 2\r\n", "ok")).read("ok 2").starts_with("HTTP/1.1 200"));
    clients.clear();
    wait_until("there is memory again", [&] {
        raw_client next{server};
        const auto answer = next.send(post("Content-Length: 4000\r\n", body)).read("ok 4000");
        return answer.starts_with("HTTP/1.1 200");
    });
}

// Guards against a process that ends for lack of memory because many clients do not read: each of
// them stays within the limit of its connection.
BOOST_AUTO_TEST_CASE(server_whose_clients_do_not_read_bounds_their_output_together) {
    constexpr int client_count = 8;
    // 8 MiB for each client, several times what the kernel buffers and half of the memory.
    chunk_count = 512;
    options.limits.max_buffered_bytes = std::size_t{16} * 1024 * 1024;
    options.limits.output_buffer_bytes = std::size_t{16} * 1024 * 1024;
    // A write timeout would close all clients before the checks if the machine is busy.
    options.limits.write_timeout = std::chrono::hours{1};
    const auto server = start();
    std::list<raw_client> clients;
    for (int n = 0; n < client_count; ++n) {
        clients.emplace_back(server).send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    wait_until("all responses have begun", [&] { return handled == client_count; });
    const auto buffered = buffered_output();
    BOOST_TEST(buffered > 0U);
    BOOST_TEST(buffered < options.limits.output_buffer_bytes);
    BOOST_TEST(disconnects > 0);
    BOOST_TEST(disconnects < client_count);
    raw_client other{server};
    BOOST_TEST(other.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
}

// Guards against connections beyond the limit that hang or are closed without a response.
BOOST_AUTO_TEST_CASE(server_when_connections_exceed_the_limit_answers_503_and_recovers) {
    options.limits.max_connections = 2;
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client first{server};
    raw_client second{server};
    first.send(good_request).read("ok 0");
    second.send(good_request).read("ok 0");
    for (int n = 0; n < 3; ++n) {
        raw_client excess{server};
        BOOST_TEST(excess.send(good_request).read().starts_with("HTTP/1.1 503"));
        BOOST_TEST(excess.closed());
    }
    BOOST_TEST(first.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
    second.close();
    wait_until("a connection slot is free", [&] {
        raw_client next{server};
        return next.send(good_request).read("0").starts_with("HTTP/1.1 200");
    });
}

// Guards against clients that keep all connections open without requests and so lock out others.
BOOST_AUTO_TEST_CASE(server_when_full_closes_the_connection_that_waits_longest_for_a_new_one) {
    options.limits.max_connections = 2;
    options.limits.when_full = http::connection_overflow::close_longest_waiting;
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client busy{server};
    busy.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the request is handled", [&] { return handled == 1; });
    raw_client silent{server};
    silent.send("GET / HT");
    raw_client third{server};
    BOOST_TEST(third.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
    BOOST_TEST(silent.read().empty());
    BOOST_TEST(silent.closed());
    third.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the other request is handled", [&] { return handled == 3; });
    raw_client fourth{server};
    BOOST_TEST(fourth.send(good_request).read().starts_with("HTTP/1.1 503"));
    answer_held();
    BOOST_TEST(third.read("held").starts_with("HTTP/1.1 200"));
}

// Guards against a response that is cut although its client reads it steadily: the time limit of a
// write applied to all of it.
BOOST_AUTO_TEST_CASE(server_when_client_reads_a_large_response_slowly_sends_all_of_it) {
    constexpr std::size_t response_bytes = std::size_t{16} * 1024 * 1024;
    options.limits.max_body_bytes = response_bytes;
    options.limits.write_timeout = std::chrono::milliseconds{500};
    large_response_bytes = response_bytes;
    const auto server = start();
    raw_client client{server};
    client.send("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    // About 1.2 s for the whole response, several pieces of it in each write timeout.
    BOOST_TEST(client.read_slowly(std::size_t{64} * 1024, std::chrono::milliseconds{5}) >
               response_bytes);
}

// Guards against a body that is refused for the time it takes although it arrives steadily.
BOOST_AUTO_TEST_CASE(server_when_body_arrives_at_the_lowest_rate_accepts_it) {
    options.limits.min_body_rate = 1000;
    const auto server = start();
    raw_client client{server};
    client.send(post("Content-Length: 4000\r\n", ""));
    for (int n = 0; n < 40; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        client.send(std::string(100, 'x'));
    }
    BOOST_TEST(client.read("ok 4000").starts_with("HTTP/1.1 200"));
}

// Guards against many headers that together use more memory than there is: each is within its
// limit, but short fields take many times their size.
BOOST_AUTO_TEST_CASE(server_whose_clients_hold_many_headers_bounds_them_together) {
    options.limits.input_buffer_bytes = std::size_t{128} * 1024;
    const auto server = start();
    std::string fields;
    for (int n = 0; n < 300; ++n) {
        fields += "a: b\r\n";
    }
    std::list<raw_client> clients;
    for (int n = 0; n < 8; ++n) {
        clients.emplace_back(server).send("GET /held HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    }
    std::size_t refused = 0;
    for (auto it = std::next(clients.begin(), 2); it != clients.end(); ++it) {
        refused += it->read("not_run").starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    BOOST_TEST(refused == 6U);
    raw_client other{server};
    BOOST_TEST(other.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
}

// Guards against a flood of connections that uses more resources than the two limits allow.
BOOST_AUTO_TEST_CASE(server_when_flooded_with_connections_refuses_a_bounded_number_with_503) {
    options.limits.max_connections = 1;
    options.limits.max_refusals = 4;
    options.limits.read_timeout = std::chrono::seconds{20};
    const auto server = start();
    raw_client served{server};
    served.send(good_request).read("ok 0");
    std::vector<std::unique_ptr<raw_client>> flood(100);
    for (auto& it : flood) {
        it = std::make_unique<raw_client>(server);
    }
    for (auto& it : flood) {
        const auto response = it->read();
        BOOST_TEST((response.empty() || response.starts_with("HTTP/1.1 503")));
        BOOST_TEST(it->closed());
    }
    BOOST_TEST(served.send(good_request).read("ok 0").starts_with("HTTP/1.1 200"));
}

// Guards against a stop that never ends: the retry of a failed accept replaced the end of the grace
// period.
BOOST_AUTO_TEST_CASE(server_whose_accept_fails_in_the_grace_of_a_stop_ends_the_stop) {
    options.stop_grace = std::chrono::milliseconds{300};
    const auto address = start();
    tcp::socket client{client_context, tcp::v4()};
    const descriptor_limit limit;
    auto stopped = stop();
    client.connect({boost::asio::ip::make_address(address.host), address.port});
    BOOST_TEST((stopped.wait_for(std::chrono::seconds{5}) == std::future_status::ready));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
