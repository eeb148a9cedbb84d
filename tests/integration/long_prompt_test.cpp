#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

#include "common/time.h"
#include "gateway/ownership.h"
#include "gateway_fixture.h"
#include "support/raw_response_server.h"

namespace jujubemast::tests {

/// Two gateways and two model engines. Prompts of 54,600 tokens take an engine about a second to
/// read.
struct long_prompt_fixture : gateway_fixture {
    /// How long a grant for such a prompt lasts if its end is not reported.
    static constexpr std::chrono::seconds grant_limit{3};

    int next_request = 0;

    long_prompt_fixture() {
        wait_until("the gateways know each other", [&] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& it) {
                return it->log().find("Gateway is live.") != std::string::npos;
            });
        });
    }

    static std::string request(const std::string& attempt) {
        return "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt +
               "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nX-Model: m\r\n"
               "X-Prompt-Prefix: shared:10,last:5\r\nX-Token-Count: 54600,10\r\n"
               "Content-Length: 4\r\nConnection: close\r\n\r\nbody";
    }

    /// Sends a long prompt to each gateway at the same time. Returns their ids.
    std::vector<std::string> send_pair() {
        std::vector<std::string> ids;
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> callers;
        ids.reserve(gateways.size());
        callers.reserve(gateways.size());
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            ids.push_back("long" + std::to_string(next_request++));
            callers.push_back(open_connection(context, request(ids.back()), n));
        }
        for (auto& it : callers) {
            std::string text;
            boost::system::error_code ec;
            boost::asio::read(it, boost::asio::dynamic_buffer(text), ec);
        }
        return ids;
    }

    /// Whether a gateway has sent the request to an engine that its owner had granted.
    [[nodiscard]] bool was_granted(const std::string& id) const {
        return has_line(id, "granted=yes");
    }

    [[nodiscard]] bool has_line(const std::string& id, const std::string& field) const {
        return std::any_of(gateways.begin(), gateways.end(), [&](const auto& it) {
            const auto log = it->log();
            const auto line = log.find("Looked for an engine. attempt=" + id + " ");
            return line != std::string::npos &&
                   log.substr(line, log.find('\n', line) - line).find(field) != std::string::npos;
        });
    }

    /// Returns the engine that got the request.
    [[nodiscard]] std::string engine_of(const std::string& id) const {
        const auto found = records(id);
        return found.empty() ? "" : std::string{found.front().at("upstream").as_string()};
    }

    /// Lets the grants of earlier prompts end.
    void wait_for_free_engines() const {
        for (const auto& it : gateways) {
            const auto admin = it->listening_address("jujubemast-gateway/admin/listener");
            wait_until("no engine reads a prompt", [&] {
                const auto state = call(admin, {"GET", "/dump", {}, {}}).body;
                return state.find(R"("reading_engines":0)") != std::string::npos;
            });
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(long_prompt_test, long_prompt_fixture)

// Guards against two gateways that send long prompts with the same prefix to one engine.
BOOST_AUTO_TEST_CASE(long_prompts_of_two_gateways_at_the_same_time_go_to_different_engines) {
    // On a busy machine a search may end without a response; then the pair shows nothing.
    std::vector<std::string> ids;
    wait_until("both prompts have a grant", [&] {
        wait_for_free_engines();
        ids = send_pair();
        return was_granted(ids[0]) && was_granted(ids[1]);
    });
    BOOST_TEST(!engine_of(ids[0]).empty());
    BOOST_TEST(engine_of(ids[0]) != engine_of(ids[1]));
}

// Guards against an engine that is blocked until the limit of its grant after it has read the
// prompt, and against an end that does not reach the owner.
BOOST_AUTO_TEST_CASE(long_prompt_that_has_been_read_ends_its_grant_before_the_limit) {
    for (std::size_t n = 0; n < gateways.size(); ++n) {
        // A busy machine may take longer than the limit; then the request shows nothing.
        wait_until("a grant has ended before its limit", [&] {
            wait_for_free_engines();
            const auto id = "read" + std::to_string(next_request++);
            const auto begin = common::monotonic_clock::now();
            const auto response =
                send("POST", "/stream/1", id, {{"X-Model", "m"}, {"X-Token-Count", "54600,10"}}, n);
            wait_for_free_engines();
            return response.status == 200 && was_granted(id) &&
                   common::monotonic_clock::now() - begin < grant_limit;
        });
    }
}

// Guards against a grant that lasts as long as the stream. The engine is silent after the first
// event.
BOOST_AUTO_TEST_CASE(stream_whose_first_event_has_arrived_has_no_grant_any_more) {
    raw_response_server engine{[](const std::string& request) {
        const auto begin = request.find("X-Attempt-Id: ");
        return raw_response{"HTTP/1.1 200 OK\r\n" +
                                request.substr(begin, request.find("\r\n", begin) - begin) +
                                "\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "f\r\nid: 1\ndata: x\n\n\r\n",
                            "0\r\n\r\n", std::chrono::seconds{4}};
    }};
    replace_upstreams("engines", {"e1", "e2"}, {"x1"}, engine.address());
    // A busy machine may take longer than the limit; then the request shows nothing.
    wait_until("a grant has ended before its limit", [&] {
        wait_for_free_engines();
        const auto id = "silent" + std::to_string(next_request++);
        const auto begin = common::monotonic_clock::now();
        boost::asio::io_context context;
        auto caller = open_connection(context, request(id), 0);
        std::string text;
        boost::system::error_code ec;
        boost::asio::read_until(caller, boost::asio::dynamic_buffer(text), "id: 1", ec);
        wait_for_free_engines();
        return !ec && was_granted(id) && common::monotonic_clock::now() - begin < grant_limit;
    });
}

// Guards against requests that are lost or delayed with the gateway that owns their engine, and
// against a second send when its response comes late.
BOOST_AUTO_TEST_CASE(long_prompt_whose_owner_is_frozen_is_sent_once_without_a_grant) {
    // The other gateway of the one that owns both engines asks it.
    const auto owner = gateway::choose_owner("e1", {"g0", "g1"});
    BOOST_REQUIRE(owner == gateway::choose_owner("e2", {"g0", "g1"}));
    const std::size_t frozen = owner == "g0" ? 0 : 1;
    gateways[frozen]->send_signal(SIGSTOP);
    const auto response = send("POST", "/stream/1", "alone",
                               {{"X-Model", "m"}, {"X-Token-Count", "54600,10"}}, 1 - frozen);
    gateways[frozen]->send_signal(SIGCONT);
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == all_events());
    BOOST_TEST(has_line("alone", "granted=no"));
    // The late response has come when the grant has ended.
    wait_for_free_engines();
    BOOST_TEST(records("alone").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
