#include <array>
#include <future>
#include <map>
#include <span>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways in front of an upstream that sends endless responses. The path of a request selects
/// the response.
struct endless_response_fixture : gateway_fixture {
    raw_response_server upstream{[](const std::string& request) { return response_to(request); }};

    struct scripted_response {
        const char* name;
        /// Status of a valid response head to send first. If empty, no head is sent.
        const char* status;
        const char* begin;
        const char* repeated;
        std::chrono::milliseconds pause;
    };

    static constexpr const char* chunked = "Transfer-Encoding: chunked\r\n\r\n";
    static constexpr std::array<scripted_response, 9> malformed_responses{
        {{"no-http", "", "", "no answer ", 0ms},
         {"slow-no-http", "", "", "n", 30ms},
         {"head", "200 OK", "", "X-Field: x\r\n", 0ms},
         {"slow-head", "200 OK", "", "X-Field: x\r\n", 30ms},
         {"interim", "", "", "HTTP/1.1 100 Continue\r\n\r\n", 0ms},
         {"body", "200 OK", chunked, "8\r\n8 bytes.\r\n", 0ms},
         {"slow-body", "200 OK", "Content-Length: 100000\r\n\r\n", "x", 30ms},
         {"extension", "200 OK", "Transfer-Encoding: chunked\r\n\r\n8;e=", "x", 0ms},
         {"failure", "500 Error", "\r\n", "x", 0ms}}};
    static constexpr std::array<scripted_response, 4> malformed_streams{
        {{"no-end", "200 OK", "\r\nid: 1\ndata: x\n\nid: 2\ndata: ", "x", 0ms},
         {"no-blank", "200 OK", "\r\nid: 1\ndata: x\n\nid: 2\n", "data: x\n", 0ms},
         {"no-event", "200 OK", "\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n", "none\n\n", 0ms},
         {"no-first", "200 OK", "\r\n", "none", 0ms}}};

    static std::string header_of(const std::string& request, const std::string& name) {
        const auto begin = request.find(name + ": ");
        if (begin == std::string::npos) {
            return {};
        }
        const auto value = begin + name.size() + 2;
        return request.substr(value, request.find("\r\n", value) - value);
    }

    static std::string response_head(const std::string& request, const std::string& status) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + header_of(request, "X-Attempt-Id") +
               "\r\nX-Response-Seal: seal\r\n";
    }

    static raw_response response_to(const std::string& request) {
        const auto begin = request.find('/', 6) + 1;
        const auto path = request.substr(begin, request.find_first_of(" /", begin) - begin);
        if (path == "shed") {
            return {response_head(request, "503 Full") + "X-Not-Run: 1\r\n\r\n", "x", 30ms};
        }
        if (path == "shed-without-id") {
            return {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n", "x", 30ms};
        }
        if (path == "steady") {
            return {response_head(request, "200 OK") + "\r\n", "data: x\n\n", 50ms};
        }
        for (const auto& scripted_responses :
             {std::span<const scripted_response>{malformed_responses}, {malformed_streams}}) {
            for (const auto& it : scripted_responses) {
                if (path == it.name) {
                    const std::string status{it.status};
                    return {(status.empty() ? "" : response_head(request, status)) + it.begin,
                            it.repeated, it.pause};
                }
            }
        }
        if (!header_of(request, "X-Model").empty()) {
            return {response_head(request, "200 OK") +
                        "Content-Length: 16\r\n\r\nid: 1\ndata: ok\n\n",
                    "",
                    {}};
        }
        return {response_head(request, "200 OK") + "Content-Length: 2\r\n\r\nok", "", {}};
    }

    /// Removes the upstreams `leaving` from a service, adds the raw upstream to it, and waits until
    /// the gateways use that.
    void add_raw_upstream(const std::string& service, const std::vector<std::string>& leaving) {
        for (const auto& it : leaving) {
            set_upstream(it, service, "");
        }
        // The gateways receive the changes in the order of the writes.
        set_upstream("x1", service, upstream.address());
        wait_until("the upstream is used", [&] {
            const auto before = upstream.requests();
            const auto text = service == "engines"
                                  ? send("POST", "/stream/probe", "probe", {{"X-Model", "m"}})
                                  : send("GET", "/read/probe", "probe");
            return text.status == 200 && upstream.requests() > before &&
                   text.body.find("ok") != std::string::npos;
        });
    }

    void check_connections_are_closed() {
        // Each gateway keeps the connection of the probe open.
        wait_until("the connections are closed",
                   [&] { return upstream.open_connections() <= gateways.size(); });
    }

    /// Checks that the log of a failed request gives the reason.
    void check_reason_is_logged(const std::string& attempt) {
        const auto log = gateways[0]->log();
        const auto end = log.find("Request ended. attempt=" + attempt + " ");
        BOOST_REQUIRE(end != std::string::npos);
        const auto line = log.substr(end, log.find('\n', end) - end);
        const auto reason = line.find("reason=");
        BOOST_TEST(reason != std::string::npos, line);
        BOOST_TEST(line.size() > reason + std::string{"reason="}.size(), line);
    }
};

BOOST_FIXTURE_TEST_SUITE(endless_response_test, endless_response_fixture)

// Guards against requests that exceed their deadline, and against invalid bytes sent to the caller,
// when the response of the only upstream never ends.
BOOST_AUTO_TEST_CASE(request_whose_response_is_endless_ends_as_unknown_before_its_deadline) {
    add_raw_upstream("desk", {"d1", "d2"});
    std::map<std::string, std::future<received_response>> responses;
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& it : malformed_responses) {
        responses[it.name] = std::async(std::launch::async, [this, &it] {
            return send("POST", std::string{"/post/"} + it.name, it.name);
        });
    }
    for (auto& [name, response] : responses) {
        const auto got = response.get();
        BOOST_TEST((got.status == 502U || got.status == 504U), name);
        BOOST_TEST(got.complete, name);
        BOOST_TEST(got.body.size() < 1000U, name);
        check_reason_is_logged(name);
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 6s));
    check_connections_are_closed();
}

// Guards against a gateway that exceeds its memory when many responses never end.
BOOST_AUTO_TEST_CASE(gateway_with_many_endless_responses_keeps_its_memory_bounded) {
    constexpr std::size_t max_growth = std::size_t{90} * 1024 * 1024;
    add_raw_upstream("desk", {"d1", "d2"});
    const auto before = peak_memory(0);
    std::vector<std::future<received_response>> responses;
    for (int n = 0; n < 24; ++n) {
        const auto* path = n % 3 == 0   ? "/post/extension"
                           : n % 3 == 1 ? "/post/body"
                                        : "/post/failure";
        responses.push_back(std::async(std::launch::async, [this, path, n] {
            return send("POST", path, "m" + std::to_string(n));
        }));
    }
    for (auto& it : responses) {
        BOOST_TEST(it.get().status >= 500U);
    }
    BOOST_TEST(peak_memory(0) < before + max_growth);
    check_connections_are_closed();
}

BOOST_AUTO_TEST_CASE(safe_request_whose_response_is_endless_is_retried_at_another_upstream) {
    add_raw_upstream("desk", {"d1"});
    for (const auto& it : malformed_responses) {
        const auto response = send("GET", std::string{"/read/"} + it.name, it.name);
        // The upstream d2 of the stand-in responds to every path.
        BOOST_TEST(response.status == 200U, it.name);
        BOOST_TEST(response.body == "answer of d2", it.name);
    }
}

// Guards against a refusal that is not reported as "not run", or only at the deadline, because its
// body never ends.
BOOST_AUTO_TEST_CASE(unsafe_request_refused_with_an_endless_body_is_reported_as_not_run_in_time) {
    add_raw_upstream("desk", {"d1", "d2"});
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(send("POST", "/post/shed", "shed").status == 503U);
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 3s));
    // Such a refusal may belong to an earlier request.
    BOOST_TEST(send("POST", "/post/shed-without-id", "shed-without-id").status == 502U);
    check_connections_are_closed();
}

// Guards against a stream that passes on invalid bytes or stops when an event never ends.
BOOST_AUTO_TEST_CASE(stream_whose_event_is_endless_continues_at_another_upstream) {
    add_raw_upstream("engines", {"e1"});
    for (const auto& it : malformed_streams) {
        const auto before = upstream.requests();
        // The choice is random, and a new upstream gets few requests at first.
        constexpr int max_requests = 60;
        for (int n = 0; n < 3 || (upstream.requests() == before && n < max_requests); ++n) {
            const auto attempt = std::string{it.name} + std::to_string(n);
            const auto response =
                send("POST", std::string{"/stream/"} + it.name, attempt, {{"X-Model", "m"}});
            BOOST_TEST(response.complete, attempt);
            BOOST_TEST(response.body == all_events(), attempt);
        }
        BOOST_TEST(upstream.requests() > before, it.name);
    }
    check_connections_are_closed();
}

// Guards against a second response, or other bytes, in a stream that no upstream continues.
BOOST_AUTO_TEST_CASE(stream_whose_event_is_endless_at_every_upstream_ends_after_complete_events) {
    add_raw_upstream("engines", {"e1", "e2"});
    for (const auto& it : malformed_streams) {
        const auto response =
            send("POST", std::string{"/stream/"} + it.name, it.name, {{"X-Model", "m"}});
        check_reason_is_logged(it.name);
        if (std::string_view{it.name} == "no-first") {
            // No event has reached the caller, so the failure can still be reported.
            BOOST_TEST(response.status == 502U);
            BOOST_TEST(response.complete);
            BOOST_TEST(response.body.find("none") == std::string::npos, response.body);
            continue;
        }
        BOOST_TEST(!response.complete, it.name);
        const bool whole = response.body.empty() || response.body == "id: 1\ndata: x\n\n" ||
                           response.body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
        BOOST_TEST(whole, response.body);
    }
}

// Guards against limits on endless responses that also end a valid stream.
BOOST_AUTO_TEST_CASE(stream_with_steady_events_continues_until_its_deadline) {
    add_raw_upstream("engines", {"e1", "e2"});
    const auto begin = std::chrono::steady_clock::now();
    const auto response = send("POST", "/stream/steady", "steady", {{"X-Model", "m"}});
    BOOST_TEST((std::chrono::steady_clock::now() - begin > 4500ms));
    BOOST_TEST(response.body.size() > 40 * std::string{"data: x\n\n"}.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
