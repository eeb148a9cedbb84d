#include <chrono>
#include <string>
#include <thread>

#include "gateway_fixture.h"

namespace jujubemast::tests {

/// Engines that crash each time they begin to write an answer on one part of the prompt.
struct crashing_part_fixture : gateway_fixture {
    int next_request = 0;

    crashing_part_fixture() {
        wait_until("the gateways know each other", [&] {
            return gateways[0]->log().find("Gateway is live.") != std::string::npos &&
                   gateways[1]->log().find("Gateway is live.") != std::string::npos;
        });
        set_deadly_part("deadly");
    }

    void set_deadly_part(const std::string& part) const {
        call(store_address, {"POST", "/deadly", {}, part});
    }

    /// Returns the id of the next request. No two prompts have the same last part.
    std::string next_id() { return "r" + std::to_string(next_request++); }

    received_response send_prompt(const std::string& id, const std::string& parts,
                                  std::size_t gateway) const {
        return send("POST", "/stream/1", id,
                    {{"X-Model", "m"}, {"X-Prompt-Prefix", parts + "," + id + ":5"}}, gateway);
    }

    received_response send_deadly(std::size_t gateway) {
        return send_prompt(next_id(), "common:10,deadly:10", gateway);
    }

    /// Sends a sound request that has the key, the route and the first part of the deadly ones.
    received_response send_sound(std::size_t gateway) {
        return send_prompt(next_id(), "common:10", gateway);
    }

    /// Sends deadly requests, slowly enough that the engines come back, until one is refused
    /// without reaching an engine.
    void send_until_refused() {
        constexpr int max_requests = 8;
        for (int n = 0; n < max_requests; ++n) {
            const auto before = counter_value("/crashes");
            const auto response = send_deadly(static_cast<std::size_t>(n) % 2);
            if (response.status == 503 && counter_value("/crashes") == before) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{600});
            for (std::size_t gateway = 0; gateway < 2; ++gateway) {
                wait_until("the engines are back", [&] { return send_sound(gateway).complete; });
            }
        }
        BOOST_FAIL("no request was refused");
    }
};

BOOST_FIXTURE_TEST_SUITE(crashing_part_test, crashing_part_fixture)

// Guards against requests with one part in common that crash one engine after the other (BUDGET).
BOOST_AUTO_TEST_CASE(requests_with_a_deadly_part_when_it_is_known_reach_no_engine) {
    send_until_refused();
    const auto crashes = counter_value("/crashes");
    BOOST_TEST(crashes <= 5);
    add_gateway(2, 1);
    wait_until("the new gateway knows the others",
               [&] { return gateways[2]->log().find("Gateway is live.") != std::string::npos; });
    wait_until("the new gateway has the evidence", [&] {
        return gateways[2]->log().find("Suspicion of a prompt part changed.") != std::string::npos;
    });
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        for (int n = 0; n < 4; ++n) {
            const auto id = next_id();
            const auto response = send_prompt(id, "common:10,deadly:10", gateway);
            BOOST_TEST(response.status == 503U);
            BOOST_TEST(records(id).empty());
        }
        const auto refusal =
            call(addresses[gateway], {"POST",
                                      "/stream/1",
                                      {{"Host", "a.example"},
                                       {"X-Attempt-Id", next_id()},
                                       {"Authorization", "Bearer key-1"},
                                       {"X-Prompt-Prefix", "common:10,deadly:10,r:5"}},
                                      "body"});
        BOOST_TEST(!http::find_header(refusal.fields, "Retry-After").empty());
    }
    BOOST_TEST(counter_value("/crashes") == crashes);
}

// Guards against sound requests that are refused because they share the key, the route and the
// first part with requests that crash engines (LOST).
BOOST_AUTO_TEST_CASE(sound_requests_when_a_part_is_deadly_are_served_at_the_first_attempt) {
    send_until_refused();
    for (std::size_t n = 0; n < 10; ++n) {
        const auto id = next_id();
        const auto response = send_prompt(id, "common:10,other:10", n % 2);
        BOOST_TEST(response.body == all_events());
        BOOST_TEST(records(id).size() == 1U);
    }
}

// Guards against a part that stays refused after it has become sound.
BOOST_AUTO_TEST_CASE(requests_when_the_deadly_part_has_become_sound_are_served_again) {
    send_until_refused();
    const auto crashes = counter_value("/crashes");
    set_deadly_part("");
    std::size_t gateway = 0;
    wait_until("a trial has cleared the part",
               [&] { return send_deadly(gateway++ % 2).body == all_events(); });
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    BOOST_TEST(send_deadly(0).body == all_events());
    BOOST_TEST(send_deadly(1).body == all_events());
    BOOST_TEST(counter_value("/crashes") == crashes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
