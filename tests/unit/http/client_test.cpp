#include "http/client.h"

#include <fstream>

#include <boost/test/unit_test.hpp>

#include "support/event_loop.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// A client connected to a server that sends bytes without end.
struct client_fixture {
    event_loop loop;
    std::shared_ptr<runtime::task_lifecycle> lifecycle = make_lifecycle("test");
    http::client_limits limits{.head_timeout = 500ms,
                               .progress_timeout = 300ms,
                               .max_response_bytes = std::size_t{1024} * 1024};
    std::vector<raw_response> responses;
    std::unique_ptr<raw_response_server> server;
    std::unique_ptr<http::client> client;
    std::optional<http::call_result> result;
    common::duration elapsed{};

    static constexpr const char* chunked_head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static constexpr const char* complete_response =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /// Starts a server that sends these responses in the order of the requests and repeats the last
    /// one.
    void start(std::vector<raw_response> sent) {
        responses = std::move(sent);
        server =
            std::make_unique<raw_response_server>([this, n = std::size_t{0}](const auto&) mutable {
                return responses.at(std::min(n++, responses.size() - 1));
            });
        client = std::make_unique<http::client>(loop.context(lifecycle),
                                                http::parse_endpoint(server->address()), limits);
    }

    /// Makes a call and waits for its end.
    void call(const http::call_options& options = {}) {
        result.reset();
        const auto begin = common::monotonic_clock::now();
        client->send(
            {"GET", "/", {}, {}}, [this](http::call_result it) { result = std::move(it); },
            options);
        BOOST_REQUIRE(loop.run_until([this] { return result.has_value(); }));
        elapsed = common::monotonic_clock::now() - begin;
    }

    void check_error(http::call_error_kind expected) {
        const auto* error = std::get_if<http::call_error>(&*result);
        BOOST_REQUIRE(error != nullptr);
        BOOST_TEST(common::to_name(error->kind) == common::to_name(expected), error->detail);
        BOOST_TEST(error->sent);
        BOOST_TEST(!error->detail.empty());
    }

    /// Checks that the connection was closed, so that the next call opens a new one.
    void check_connection_is_closed() {
        BOOST_TEST(loop.run_until([this] { return server->open_connections() == 0; }));
    }

    unsigned status() const {
        const auto* response = std::get_if<http::response>(&*result);
        return response == nullptr ? 0 : response->status;
    }
};

namespace {

/// Returns the peak resident memory of this process in bytes.
std::size_t peak_memory_bytes() {
    std::ifstream status{"/proc/self/status"};
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t kib = 0;
            status >> kib;
            return kib * 1024;
        }
    }
    return 0;
}

// Upper bound on the memory for a rejected response: its size limit and the buffers of client and
// test.
constexpr std::size_t memory_margin = std::size_t{16} * 1024 * 1024;

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_test, client_fixture)

BOOST_AUTO_TEST_CASE(client_when_bytes_are_not_http_ends_the_call_at_once_and_closes) {
    for (const std::string bytes : {"x", "no head\r\n", "\r\n", "HTTP/1.1 2", "\0"}) {
        start({{"", bytes.empty() ? std::string(1, '\0') : bytes, {}}});
        call();
        BOOST_TEST(std::holds_alternative<http::call_error>(*result));
        BOOST_TEST((elapsed < limits.head_timeout));
        check_connection_is_closed();
    }
}

BOOST_AUTO_TEST_CASE(client_when_head_is_endless_ends_the_call_at_the_size_limit) {
    start({{"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", {}}});
    call();
    check_error(http::call_error_kind::too_large);
    check_connection_is_closed();
}

BOOST_AUTO_TEST_CASE(client_when_head_trickles_ends_the_call_at_the_head_timeout) {
    start({{"HTTP/1.1 200 OK\r\n", "X-F: v\r\n", 20ms}});
    call();
    check_error(http::call_error_kind::timeout);
    BOOST_TEST((elapsed < 2 * limits.head_timeout));
    check_connection_is_closed();
}

// Guards against an answer inside the body of a response that is no answer: a response with status
// 000 was taken for an interim one, and its body for the final response.
BOOST_AUTO_TEST_CASE(client_when_the_status_is_invalid_delivers_nothing) {
    for (const auto* const invalid : {"000", "001", "099", "600", "999"}) {
        for (const bool reused : {false, true}) {
            BOOST_TEST_CONTEXT("status " << invalid << " reused " << reused) {
                const std::string body = complete_response;
                const raw_response odd{"HTTP/1.1 " + std::string{invalid} +
                                           " X\r\nContent-Length: " + std::to_string(body.size()) +
                                           "\r\n\r\n" + body,
                                       "",
                                       {}};
                start(reused ? std::vector{raw_response{body, "", {}}, odd} : std::vector{odd});
                if (reused) {
                    call();
                    BOOST_TEST(status() == 200U);
                }
                call();
                check_error(http::call_error_kind::malformed);
                check_connection_is_closed();
            }
        }
    }
}

// Guards against the same with an interim response that has a body.
BOOST_AUTO_TEST_CASE(client_when_an_interim_response_announces_a_body_delivers_nothing) {
    const std::string body = complete_response;
    for (const auto& field : {"Content-Length: " + std::to_string(body.size()),
                              std::string{"Transfer-Encoding: chunked"}}) {
        BOOST_TEST_CONTEXT(field) {
            std::string bytes = "HTTP/1.1 103 X\r\n";
            bytes.append(field).append("\r\n\r\n").append(body);
            start({{bytes, "", {}}});
            call();
            check_error(http::call_error_kind::malformed);
            check_connection_is_closed();
        }
    }
}

// Guards against an interim response that is taken for the final one, so that the real final
// response is read as the response to the next request on the connection.
BOOST_AUTO_TEST_CASE(client_when_interim_responses_come_first_delivers_the_final_one) {
    start({{std::string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"} +
                complete_response,
            "",
            {}}});
    call();
    BOOST_TEST(status() == 200U);
    call();
    BOOST_TEST(status() == 200U);
}

BOOST_AUTO_TEST_CASE(client_when_interim_responses_are_endless_ends_the_call) {
    for (const auto pause : {0ms, 20ms}) {
        start({{"", "HTTP/1.1 100 Continue\r\n\r\n", pause}});
        call();
        BOOST_TEST(std::holds_alternative<http::call_error>(*result));
        BOOST_TEST((elapsed < 2 * limits.head_timeout));
        check_connection_is_closed();
    }
}

BOOST_AUTO_TEST_CASE(client_when_body_is_endless_ends_the_call_at_the_size_limit) {
    for (const char* begin : {chunked_head, "HTTP/1.1 200 OK\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                              "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        start({{begin, "8\r\n8 bytes.\r\n", {}}});
        call();
        check_error(http::call_error_kind::too_large);
        check_connection_is_closed();
    }
}

// Guards against memory that grows with an endless chunk-size line or trailer until the timeout:
// the body limit does not count these bytes, and the input buffer that holds them had no limit.
BOOST_AUTO_TEST_CASE(client_when_chunk_header_or_trailer_is_endless_keeps_memory_bounded) {
    limits.progress_timeout = 2s;
    for (const std::string begin : {"8;extension=", "0\r\nX-Trailer: ", "0;", "00000000000000"}) {
        start({{chunked_head + begin, begin == "00000000000000" ? "0" : "x", {}}});
        const auto before = peak_memory_bytes();
        call();
        BOOST_TEST(std::holds_alternative<http::call_error>(*result));
        BOOST_TEST(peak_memory_bytes() < before + memory_margin, begin);
        BOOST_TEST((elapsed < limits.progress_timeout));
        check_connection_is_closed();
    }
}

// Guards against a call that never ends because bytes keep arriving within the progress timeout.
BOOST_AUTO_TEST_CASE(client_when_body_trickles_ends_the_call_at_its_total_limit) {
    limits.total_timeout = 700ms;
    const std::vector<raw_response> bodies{
        {chunked_head, "1\r\nx\r\n", 20ms},
        {chunked_head + std::string{"8;extension="}, "x", 20ms},
        {chunked_head + std::string{"0\r\n"}, "X-Trailer: x\r\n", 20ms},
        {"HTTP/1.1 200 OK\r\n\r\n", "x", 20ms},
        {"HTTP/1.1 500 Error\r\nContent-Length: 100000\r\n\r\n", "x", 20ms}};
    for (const auto& it : bodies) {
        start({it});
        call();
        check_error(http::call_error_kind::timeout);
        BOOST_TEST((elapsed < 2 * limits.total_timeout));
        check_connection_is_closed();
    }
}

// Guards against a total timeout that cuts off streams, which last as long as their client waits.
BOOST_AUTO_TEST_CASE(client_when_no_total_limit_is_set_delivers_a_long_body) {
    start({{chunked_head, "1\r\nx\r\n", 20ms}});
    std::size_t received = 0;
    http::call_hooks hooks;
    hooks.on_data = [&](std::string_view bytes) { received += bytes.size(); };
    hooks.on_error = [&](const http::call_error& error) { BOOST_ERROR(error.detail); };
    const auto id = client->start({"GET", "/", {}, {}}, std::move(hooks));
    BOOST_TEST(loop.run_until([&] { return received > 60; }));
    client->cancel(id);
    check_connection_is_closed();
}

BOOST_AUTO_TEST_CASE(client_when_call_has_its_own_size_limit_keeps_to_it) {
    start({{chunked_head, "8\r\n8 bytes.\r\n", {}}});
    call({.max_body_bytes = 1000});
    check_error(http::call_error_kind::too_large);
    start({{complete_response, "", {}}});
    call({.max_body_bytes = 1000});
    BOOST_TEST(status() == 200U);
}

// Guards against a response to an earlier call that is taken for the one of a call that must not be
// confused: its connection carries nothing else.
BOOST_AUTO_TEST_CASE(client_when_call_is_not_idempotent_closes_its_connection) {
    start({{complete_response, "", {}}});
    call({.idempotent = false});
    BOOST_TEST(status() == 200U);
    BOOST_TEST(client->idle_connections() == 0U);
    check_connection_is_closed();
}

// Guards against idle connections that fill the limit of the server and keep others out.
BOOST_AUTO_TEST_CASE(client_when_connections_are_limited_closes_idle_ones_for_calls) {
    limits.max_connections = 1;
    start({{complete_response, "", {}}});
    call();
    BOOST_TEST(client->idle_connections() == 1U);
    call({.idempotent = false});
    BOOST_TEST(client->idle_connections() == 0U);
    call();
    client->set_max_connections(0);
    BOOST_TEST(client->idle_connections() == 0U);
}

// Guards against idle connections that stay open until the next call, which may never come.
BOOST_AUTO_TEST_CASE(client_when_idle_connection_expires_closes_it) {
    limits.idle_lifetime = 50ms;
    start({{complete_response, "", {}}});
    call();
    BOOST_TEST(client->idle_connections() == 1U);
    check_connection_is_closed();
}

// Guards against an exception that ends the task of the caller: a message cannot hold a field this
// long, and inputs of a request are joined in one field.
BOOST_AUTO_TEST_CASE(client_when_a_request_field_is_too_long_reports_that_it_was_not_sent) {
    start({{complete_response, "", {}}});
    for (const auto& field : {http::header{"X-Field", std::string(70'000, 'x')},
                              http::header{std::string(70'000, 'x'), "value"}}) {
        result.reset();
        client->send({"GET", "/", {field}, {}},
                     [this](http::call_result it) { result = std::move(it); });
        BOOST_TEST(!result.has_value());
        BOOST_REQUIRE(loop.run_until([this] { return result.has_value(); }));
        const auto* error = std::get_if<http::call_error>(&*result);
        BOOST_REQUIRE(error != nullptr);
        BOOST_TEST(common::to_name(error->kind) == "too_large");
        BOOST_TEST(!error->sent);
        BOOST_TEST(client->calls_in_progress() == 0U);
    }
    call();
    BOOST_TEST(status() == 200U);
}

// Guards against a request of one caller that ends the task of the client by an exception: Beast
// cannot encode a TRACE request with a body.
BOOST_AUTO_TEST_CASE(client_when_the_method_is_odd_ends_the_call_without_an_exception) {
    start({{complete_response, "", {}}});
    for (const std::string method : {"TRACE", "CONNECT", "OPTIONS", "PROPFIND", "DELETE",
                                     "M-SEARCH", "trace", "X", "", "\x01", "A B"}) {
        for (const std::string body : {"", "body"}) {
            BOOST_TEST_CONTEXT(method << " with " << body.size() << " bytes") {
                result.reset();
                client->send({method, "/", {}, body},
                             [this](http::call_result it) { result = std::move(it); });
                BOOST_REQUIRE(loop.run_until([this] { return result.has_value(); }));
                BOOST_TEST((status() == 0U) == (method == "TRACE" && !body.empty()));
            }
        }
    }
}

// Guards against a call that waits for a body which never comes: the response to HEAD has none,
// whatever its fields say.
BOOST_AUTO_TEST_CASE(client_when_the_method_is_head_expects_no_body) {
    for (const std::string fields :
         {"Content-Length: 800\r\n", "Transfer-Encoding: chunked\r\n", "X-A: b\r\n"}) {
        BOOST_TEST_CONTEXT(fields) {
            start({{"HTTP/1.1 200 OK\r\n" + fields + "\r\n", "", {}}, {complete_response, "", {}}});
            result.reset();
            client->send({"HEAD", "/", {}, {}},
                         [this](http::call_result it) { result = std::move(it); });
            BOOST_REQUIRE(loop.run_until([this] { return result.has_value(); }));
            BOOST_TEST(status() == 200U);
            call();
            BOOST_TEST(status() == 200U);
            BOOST_TEST(server->connections() == 1U);
        }
    }
}

// Guards against bytes that belong to no request being read as the response to the next one.
BOOST_AUTO_TEST_CASE(client_when_bytes_follow_a_complete_response_uses_a_new_connection) {
    // Checks no time, and the server's threads may wait for a processor.
    limits.head_timeout = limits.progress_timeout = 10s;
    for (const auto pause : {0ms, 100ms}) {
        start({{complete_response, complete_response, pause}, {complete_response, "", {}}});
        call();
        BOOST_TEST(status() == 200U);
        const auto begin = common::monotonic_clock::now();
        loop.run_until([&] { return common::monotonic_clock::now() - begin > 150ms; });
        call();
        BOOST_TEST(status() == 200U);
        BOOST_TEST(server->connections() == 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
