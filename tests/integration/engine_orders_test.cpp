#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/http_call.h"
#include "support/ticket_deployment.h"

namespace jujubemast::tests {

struct engine_orders_fixture {
    ticket_deployment system;

    engine_orders_fixture() {
        system.add_pool("jujube-pool", "engine", 2);
        system.add_entry();
        system.publish_membership();
    }

    static std::string placement(const std::string& models) {
        return "placements: {engines: {pool: jujube-pool, models: [" + models +
               "], role: generate}}\n";
    }

    void accept(const std::string& yaml) {
        const auto outcome = system.ctl({"ticket", "accept", system.create_ticket(yaml)});
        BOOST_TEST_REQUIRE(outcome.code == 0, outcome.text);
    }

    static boost::json::value load_of(const upstream_instance& engine) {
        return boost::json::parse(call(engine.upstream_address, {"GET", "/v1/load", {}, {}}).body);
    }

    void wait_for_models(const boost::json::array& models, std::uint64_t fencing) {
        for (const auto& it : system.upstreams()) {
            wait_until("models of " + it.name, [&] {
                const auto load = load_of(it);
                return load.at("models").as_array() == models &&
                       load.at("fencing").to_number<std::uint64_t>() == fencing;
            });
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(engine_orders_test, engine_orders_fixture)

// Guards against engines that never load the models of an accepted ticket, and against a sidecar
// that was paused meanwhile and sends the order of an older revision.
BOOST_AUTO_TEST_CASE(engines_when_placement_changes_follow_the_highest_revision) {
    accept("pools: {jujube-pool: {kind: engine}}\n" + placement("base, second"));
    wait_for_models({"base", "second"}, 1);
    auto& paused = *system.upstreams().front().sidecar;
    paused.send_signal(SIGSTOP);
    accept(placement("base, third"));
    const auto& engine = system.upstreams().front();
    // Stands for another sidecar process that sends the order of the new revision in the meantime.
    const auto order_response = call(
        engine.upstream_address,
        {"POST", "/v1/orders", {}, R"({"models":["base","third"],"role":"generate","fencing":2})"});
    BOOST_TEST(order_response.status == 200U);
    paused.send_signal(SIGCONT);
    wait_for_models({"base", "third"}, 2);
    const auto dump =
        boost::json::parse(call(paused.listening_address("jujubemast-sidecar/admin/listener"),
                                {"GET", "/dump", {}, {}})
                               .body);
    const auto& orders = dump.at("children").at("orders").at("detail");
    BOOST_TEST(orders.at("orders_refused").to_number<int>() == 0);
    BOOST_TEST(orders.at("orders_given").to_number<int>() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
