#include <string>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/http_call.h"
#include "support/ticket_deployment.h"

namespace jujubemast::tests {

struct ticket_propagation_fixture {
    ticket_deployment system;

    ticket_propagation_fixture() {
        system.add_pool("encoders", "service", 2);
        system.add_pool("retrievers", "service", 1);
        system.add_pool("rerankers", "service", 1);
        system.add_pool("jujube-pool", "engine", 2);
        system.add_entry();
        system.add_entry();
        system.publish_membership();
        system.accept_ticket(standard_ticket());
        system.wait_until_ready();
        wait_until_all_serve(1);
    }

    void accept(const std::string& number) {
        const auto outcome = system.ctl({"ticket", "accept", number});
        BOOST_TEST_REQUIRE(outcome.code == 0, outcome.text);
    }

    void wait_until_all_serve(std::uint64_t revision) {
        for (std::size_t n = 0; n < system.entry_count(); ++n) {
            wait_until_serves(system.entry_admin_address(n), revision);
        }
        for (const auto& it : system.sidecar_admins()) {
            wait_until_serves(it, revision);
        }
    }

    static void wait_until_serves(const std::string& admin, std::uint64_t revision) {
        wait_until("revision " + std::to_string(revision) + " at " + admin,
                   [&] { return ticket_deployment::served_revision(admin) >= revision; });
    }

    static http::response ready(const std::string& api) {
        return call(api, {"GET", "/readyz", {}, {}});
    }

    std::string sidecar_addresses() {
        std::string list;
        for (const auto& it : system.upstreams()) {
            list += (list.empty() ? "" : ",") + it.sidecar_address;
        }
        return list;
    }
};

BOOST_FIXTURE_TEST_SUITE(ticket_propagation_test, ticket_propagation_fixture)

// Guards against sidecars that never receive a ticket, and against a status that does not count
// them.
BOOST_AUTO_TEST_CASE(status_when_waiting_reports_every_live_process) {
    const auto number = system.create_ticket(weight_ticket(1));
    accept(number);
    const auto status = system.wait_until_in_force(number);
    BOOST_TEST(status.code == 0, status.text);
    BOOST_TEST(status.text == "ticket is in_force, revision 2 applied on 8 of 8 live processes\n");
    wait_until_all_serve(2);
    const auto restored = system.ctl({"ticket", "withdraw", number});
    BOOST_TEST(restored.code == 0, restored.text);
    wait_until_all_serve(3);
}

// Guards against processes that miss a ticket accepted while they are paused and, when they resume,
// do not receive it because the store is down.
BOOST_AUTO_TEST_CASE(paused_processes_when_resumed_in_an_outage_learn_from_peers) {
    const auto number = system.create_ticket(weight_ticket(1));
    system.entry(1).send_signal(SIGSTOP);
    auto& sidecar = *system.upstreams().front().sidecar;
    const auto sidecar_admin = sidecar.listening_address("jujubemast-sidecar/admin/listener");
    sidecar.send_signal(SIGSTOP);
    accept(number);
    wait_until_serves(system.entry_admin_address(0), 2);
    for (std::size_t n = 1; n < system.upstreams().size(); ++n) {
        wait_until_serves(system.sidecar_admins()[n], 2);
    }
    system.set_faults("\"outage\": 1");
    system.entry(1).send_signal(SIGCONT);
    wait_until_serves(system.entry_admin_address(1), 2);
    sidecar.send_signal(SIGCONT);
    wait_until_serves(sidecar_admin, 2);
    const auto replica = ticket_deployment::replica_state(system.entry_admin_address(1));
    BOOST_TEST(replica.at("fetches_sent").to_number<int>() == 1);
}

// Guards against an acceptance that is refused during an outage and takes effect later, and against
// propagation that stops when the store fails right after the acceptance.
BOOST_AUTO_TEST_CASE(ticket_when_store_fails_before_and_after_acceptance_propagates) {
    const auto number = system.create_ticket(weight_ticket(1));
    system.set_faults("\"outage\": 1");
    BOOST_TEST(system.ctl({"ticket", "accept", number}).code == 3);
    system.set_faults("");
    BOOST_TEST(system.store_revision() == 1U);
    accept(number);
    wait_until("one entry serves the ticket", [&] {
        return ticket_deployment::served_revision(system.entry_admin_address(0)) == 2 ||
               ticket_deployment::served_revision(system.entry_admin_address(1)) == 2;
    });
    system.set_faults("\"outage\": 1");
    wait_until_all_serve(2);
    BOOST_TEST(ready(system.entry_address(0)).status == 200U);
}

// Guards against processes that restart without a configuration, or with an older revision, when
// they are killed while a ticket propagates.
BOOST_AUTO_TEST_CASE(processes_when_killed_while_a_ticket_propagates_restart_with_it) {
    for (int n = 0; n < 3; ++n) {
        const auto number = system.create_ticket(weight_ticket(n + 1));
        auto killed_entry = system.start_entry("extra-" + std::to_string(n), "");
        const auto accepting = system.start_ctl({"ticket", "accept", number});
        killed_entry.process->send_signal(SIGKILL);
        auto& target = system.upstreams()[static_cast<std::size_t>(n)];
        target.sidecar->send_signal(SIGKILL);
        target.sidecar->wait();
        system.start_sidecar(target);
        system.publish_membership();
        BOOST_TEST(accepting->wait() == 0, accepting->log());
        const auto revision = static_cast<std::uint64_t>(n) + 2;
        const auto restarted_entry = system.start_entry("again-" + std::to_string(n), "");
        wait_until_serves(restarted_entry.admin, revision);
        wait_until_all_serve(revision);
    }
}

// Guards against an entry that cannot start in an outage although sidecars have the configuration,
// and against an entry that serves without a configuration.
BOOST_AUTO_TEST_CASE(entry_when_starting_in_an_outage_learns_from_seed_sidecars) {
    accept(system.create_ticket(weight_ticket(1)));
    wait_until_all_serve(2);
    system.set_faults("\"outage\": 1");
    auto& empty_sidecar = system.upstreams().front();
    empty_sidecar.sidecar->send_signal(SIGKILL);
    empty_sidecar.sidecar->wait();
    system.start_sidecar(empty_sidecar);
    const auto unseeded_entry = system.start_entry("unseeded", "");
    const auto seeded_entry =
        system.start_entry("seeded", "membership: {static: \"" + sidecar_addresses() + "\"}\n");
    wait_until("the seeded entry is ready", [&] { return ready(seeded_entry.api).status == 200; });
    BOOST_TEST(ticket_deployment::served_revision(seeded_entry.admin) == 2U);
    // The sidecar that was started in the outage gets the configuration from the new entry.
    wait_until_serves(system.sidecar_admins().front(), 2);
    const auto response = ready(unseeded_entry.api);
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.body.find("neither the platform's table service nor a sidecar") !=
               std::string::npos);
    system.set_faults("");
    wait_until("the unseeded entry is ready",
               [&] { return ready(unseeded_entry.api).status == 200; });
}

// Guards against sidecars that poll the store, and against documents that are sent more than once.
BOOST_AUTO_TEST_CASE(propagation_when_idle_or_changing_fetches_each_document_once) {
    accept(system.create_ticket(weight_ticket(1)));
    wait_until_all_serve(2);
    const auto reads = system.store_reads();
    const auto polls = [&] {
        std::uint64_t sum = 0;
        for (std::size_t n = 0; n < system.entry_count(); ++n) {
            sum += ticket_deployment::replica_state(system.entry_admin_address(n))
                       .at("polls")
                       .to_number<std::uint64_t>();
        }
        return sum;
    };
    const auto before = polls();
    wait_until("ten polls", [&] { return polls() >= before + 10; });
    BOOST_TEST(system.store_reads() - reads <= polls() - before + 2);
    for (const auto& it : system.sidecar_admins()) {
        const auto replica = ticket_deployment::replica_state(it);
        BOOST_TEST(replica.at("polls").to_number<int>() == 0);
        BOOST_TEST(replica.at("fetches_sent").to_number<int>() == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
