#include <thread>

#include "integration/gateway_fixture.h"

namespace jujubemast::tests {

/// Gateways whose calls in progress to the store are lost, as on connections that have gone silent,
/// while new calls are answered.
struct silent_store_connection_fixture : gateway_fixture {
    /// The contact_ms and the drain_ms of the users' platform.
    static constexpr std::chrono::milliseconds contact_limit{3000};
    static constexpr std::chrono::milliseconds drain_limit{2000};

    /// Loses the long polls of all gateways for the upstreams, with their connections.
    void lose_long_polls() const {
        wait_until("all gateways poll",
                   [&] { return counter_value("/polls") == static_cast<int>(gateways.size()); });
        set_store_silent(true);
        set_store_silent(false);
    }

    bool knows_upstream(std::size_t gateway, const std::string& id) const {
        const auto admin =
            gateways[gateway]->listening_address("jujubemast-gateway/admin/listener");
        const auto state = call(admin, {"GET", "/dump", {}, {}}).body;
        return state.find("\"id\":\"" + id + '"') != std::string::npos;
    }
};

BOOST_FIXTURE_TEST_SUITE(silent_store_connection_test, silent_store_connection_fixture)

// Guards against requests to an upstream that has left: the lost calls counted as an outage of the
// store, whose end deferred the removal of the entry for as long again as the calls had taken.
BOOST_AUTO_TEST_CASE(upstream_that_leaves_while_connections_are_silent_is_gone_in_time) {
    replace_upstreams("desk", {}, {"leaving"}, "127.0.0.1:1");
    for (int round = 0; round < 3; ++round) {
        const auto silent = std::chrono::steady_clock::now();
        lose_long_polls();
        set_upstream("leaving", "desk", "");
        // In touch again `contact_limit` after the silence, the gateways are bound by the drain
        // limit.
        const auto limit = std::max(contact_limit, drain_limit);
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            wait_until("the upstream is gone", [&] {
                return !knows_upstream(n, "leaving") ||
                       std::chrono::steady_clock::now() > silent + limit;
            });
            BOOST_TEST(!knows_upstream(n, "leaving"));
        }
        replace_upstreams("desk", {}, {"leaving"}, "127.0.0.1:1");
    }
}

/// Gateways whose store is silent for longer than an entry takes to expire.
struct long_silence_fixture : silent_store_connection_fixture {
    /// Longer than two heartbeats of the upstreams and the calls that show the outage.
    static constexpr std::chrono::milliseconds silence{5000};
    /// The users' platform: entries that expired are back within about this time.
    static constexpr std::chrono::milliseconds reregistration_limit{2000};

    /// Removes the entries at the end of a silence. Returns when the store responds again, which is
    /// just after it has lost a call for the upstreams.
    std::chrono::steady_clock::time_point
    remove_in_silence(const std::vector<std::string>& removed) const {
        set_store_silent(true);
        std::this_thread::sleep_for(silence);
        for (const auto& it : removed) {
            set_upstream(it, "desk", "");
        }
        const auto lost = counter_value("/lost-upstreams");
        wait_until("another call is lost", [&] { return counter_value("/lost-upstreams") > lost; });
        set_store_silent(false);
        return std::chrono::steady_clock::now();
    }
};

// Guards against DRAIN of review 15: the removal of an entry was kept back for 2.2 s from when the
// gateway saw the store respond, which it did up to 1.2 s after the end of the silence.
BOOST_FIXTURE_TEST_CASE(upstream_that_leaves_in_a_long_silence_is_gone_when_in_touch_again,
                        long_silence_fixture) {
    replace_upstreams("desk", {}, {"leaving"}, "127.0.0.1:1");
    const auto end = remove_in_silence({"leaving"});
    for (std::size_t n = 0; n < gateways.size(); ++n) {
        wait_until("the upstream is gone", [&] {
            return !knows_upstream(n, "leaving") ||
                   std::chrono::steady_clock::now() > end + contact_limit;
        });
        BOOST_TEST(!knows_upstream(n, "leaving"));
    }
}

// Guards against the opposite, LOST and SHORT: an instance that is alive and could not renew its
// entry in the silence is taken for gone before it has registered again.
BOOST_FIXTURE_TEST_CASE(upstream_whose_entry_expires_in_a_long_silence_stays_until_it_is_back,
                        long_silence_fixture) {
    const std::vector<std::string> expiring{"x1", "x2"};
    replace_upstreams("desk", {}, expiring, "127.0.0.1:1");
    const auto end = remove_in_silence(expiring);
    const auto check_all_known = [&] {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            for (const auto& it : expiring) {
                BOOST_REQUIRE(knows_upstream(n, it));
            }
        }
    };
    while (std::chrono::steady_clock::now() < end + reregistration_limit) {
        check_all_known();
    }
    for (const auto& it : expiring) {
        set_upstream(it, "desk", "127.0.0.1:1");
    }
    while (std::chrono::steady_clock::now() < end + contact_limit + reregistration_limit) {
        check_all_known();
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
