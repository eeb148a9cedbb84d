#include <future>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

using namespace std::chrono_literals;

/// Two gateways in front of three stage instances at one address. The calls that the test cases
/// select get responses that never end; the others get valid ones.
struct endless_stage_response_fixture : gateway_fixture {
    static constexpr int megabytes = 64;

    enum class endless_call { none, stage_run, release, report };
    std::atomic<endless_call> endless = endless_call::none;
    std::atomic<bool> fast = false;
    std::atomic<int> next_result = 1;
    std::atomic<int> endless_calls = 0;
    raw_response_server instances{[this](const std::string& request) { return respond(request); }};

    endless_stage_response_fixture() : gateway_fixture{{1, 1}, 6900, megabytes} {
        replace_upstreams("stages", {"s1", "s2"}, {"x1", "x2", "x3"}, instances.address());
    }

    raw_response respond(const std::string& request) {
        const auto is_call = [&](const char* path) { return request.find(path) < 10; };
        const auto call = is_call("/stage-run")    ? endless_call::stage_run
                          : is_call("/stage-free") ? endless_call::release
                                                   : endless_call::report;
        if (call == endless) {
            ++endless_calls;
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            // In a head, or in a body that is as large as one call may have.
            return fast ? raw_response{head, "X-Field: x\r\n", 0ms}
                        : raw_response{head + "Content-Length: 60000\r\n\r\n{\"entries\":[" +
                                           std::string(50'000, ' '),
                                       " ", 100ms};
        }
        std::string body = R"({"busy":0,"queued":0,"free_mb":1})";
        if (call == endless_call::stage_run) {
            body = R"({"entries":[)";
            for (auto at = request.find("\"piece\""); at != std::string::npos;) {
                body += R"({"handle":")" + instances.address() + "/" +
                        std::to_string(next_result++) + "\"}";
                at = request.find("\"piece\"", at + 1);
                body += at == std::string::npos ? "" : ",";
            }
            body += "]}";
        }
        return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    body,
                "",
                {}};
    }

    received_response send_draft(const std::string& attempt, std::size_t gateway) const {
        return send("POST", "/draft/1", attempt,
                    {{"X-Model", "m"}, {"X-Pieces", "2,1"}, {"X-Piece-Key", "k"}}, gateway);
    }

    /// Sends requests with stages to both gateways at once and returns their responses.
    std::vector<received_response> send_drafts(const std::string& name, int count) const {
        std::vector<std::future<received_response>> sent;
        sent.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            sent.push_back(std::async(std::launch::async, [this, name, n] {
                return send_draft(name + std::to_string(n), static_cast<std::size_t>(n % 2));
            }));
        }
        std::vector<received_response> responses;
        responses.reserve(sent.size());
        for (auto& it : sent) {
            responses.push_back(it.get());
        }
        return responses;
    }

    void check_gateways_are_sound() {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            BOOST_TEST(gateways[n]->running());
            BOOST_TEST(peak_memory(n) < std::size_t{megabytes} * 1'000'000);
            BOOST_TEST(send("GET", "/read/1", "sound", {}, n).status == 200U);
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(endless_stage_response_test, endless_stage_response_fixture)

// Guards against requests that wait for endless responses of stage instances until their deadline,
// and against a gateway that they fill.
BOOST_AUTO_TEST_CASE(stage_calls_with_endless_responses_end_and_their_requests_are_refused) {
    endless = endless_call::stage_run;
    for (const bool in_head : {false, true}) {
        fast = in_head;
        const auto begin = std::chrono::steady_clock::now();
        for (const auto& it : send_drafts(in_head ? "head" : "body", 20)) {
            BOOST_TEST(it.status == 503U);
            BOOST_TEST(it.complete);
        }
        BOOST_TEST((std::chrono::steady_clock::now() - begin < 6s));
        check_gateways_are_sound();
    }
    BOOST_TEST(endless_calls > 0);
    wait_until("the connections are closed", [&] { return instances.open_connections() <= 12; });
    endless = endless_call::none;
    wait_until("the instances are used again", [&] { return send_draft("again", 0).complete; });
}

// Guards against a gateway that endless responses to releases and reports fill, or that holds back
// the stages for them.
BOOST_AUTO_TEST_CASE(releases_and_reports_with_endless_responses_do_not_delay_the_stages) {
    for (const auto call : {endless_call::release, endless_call::report}) {
        endless = call;
        for (const bool in_head : {false, true}) {
            fast = in_head;
            const int calls_before = endless_calls;
            std::size_t answered = 0;
            for (const auto& it : send_drafts("n" + std::to_string(in_head), 20)) {
                answered += it.status == 200 && it.complete ? 1 : 0;
            }
            BOOST_TEST(answered == 20U);
            if (call == endless_call::release) {
                // Releases are collected for a moment, in which a fast machine ends both rounds.
                wait_until("a release has been called",
                           [&] { return endless_calls > calls_before; });
            }
            check_gateways_are_sound();
        }
    }
    wait_until("the connections are closed", [&] { return instances.open_connections() <= 12; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
