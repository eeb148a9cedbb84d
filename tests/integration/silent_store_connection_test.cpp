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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
