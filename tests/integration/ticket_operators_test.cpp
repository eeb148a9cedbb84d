#include <string>

#include <boost/test/unit_test.hpp>

#include "support/ticket_deployment.h"

namespace jujubemast::tests {

/// Operator commands against the table service. No other processes are needed.
struct ticket_operators_fixture {
    ticket_deployment system;
};

BOOST_FIXTURE_TEST_SUITE(ticket_operators_test, ticket_operators_fixture)

// Guards against a ticket that is reported as failed, or accepted twice, when only the store's
// response to the write is lost.
BOOST_AUTO_TEST_CASE(acceptance_when_store_response_is_lost_is_resolved_by_its_token) {
    const auto number = system.create_ticket(weight_ticket(1));
    system.set_faults("\"lost_answers\": 1");
    const auto first = system.ctl({"ticket", "accept", number});
    BOOST_TEST(first.code == 0, first.text);
    BOOST_TEST(system.store_revision() == 1U);
    BOOST_TEST(system.ctl({"ticket", "accept", number}).code == 0);
    BOOST_TEST(system.store_revision() == 1U);
}

// Guards against an unknown outcome that is reported as a refusal, or without the command that
// resolves it.
BOOST_AUTO_TEST_CASE(acceptance_when_outcome_cannot_be_read_names_the_resolving_command) {
    const auto number = system.create_ticket(weight_ticket(1));
    system.set_faults("\"lost_answers\": 1, \"outage_after_loss\": 1");
    const auto unknown = system.ctl({"ticket", "accept", number});
    BOOST_TEST(unknown.code == 4, unknown.text);
    BOOST_TEST(unknown.text.find("jujubemast-ctl ticket accept " + number) != std::string::npos);
    BOOST_TEST(system.ctl({"ticket", "accept", number}).code == 3);
    system.set_faults("");
    BOOST_TEST(system.ctl({"ticket", "accept", number}).code == 0);
    BOOST_TEST(system.store_revision() == 1U);
}

// Guards against a second ticket when the store's response to a creation is lost and the creation
// is retried.
BOOST_AUTO_TEST_CASE(creation_when_store_response_is_lost_and_retried_creates_one_ticket) {
    system.set_faults("\"lost_answers\": 1, \"outage_after_loss\": 1");
    const auto path = system.write_file("lost.yaml", weight_ticket(1));
    BOOST_TEST(system.ctl({"ticket", "create", path}).code == 4);
    system.set_faults("");
    BOOST_TEST(system.ctl({"ticket", "create", path}).text == "created ticket 1\n");
    BOOST_TEST(system.ctl({"ticket", "list"}).text == "ticket 1 created objects 1\n");
}

// Guards against two accepted tickets, or none, when operators accept conflicting tickets at the
// same time, even if the store's response to one write is lost.
BOOST_AUTO_TEST_CASE(competing_tickets_when_accepted_together_have_one_winner_each_time) {
    constexpr int rounds = 50;
    for (int n = 1; n <= rounds; ++n) {
        const auto one = system.create_ticket(weight_ticket(2 * n));
        const auto two = system.create_ticket(weight_ticket(2 * n + 1));
        system.set_faults(n % 5 == 0 ? "\"lost_answers\": 1" : "");
        const auto first = system.start_ctl({"ticket", "accept", one});
        const auto second = system.start_ctl({"ticket", "accept", two});
        const int first_code = first->wait();
        const int second_code = second->wait();
        BOOST_TEST_REQUIRE(first_code + second_code == 1, first->log() + second->log());
        const auto winner = first_code == 0 ? one : two;
        const auto in_force = system.ctl({"ticket", "in-force"}).text;
        BOOST_TEST(in_force == "revision " + std::to_string(n) + "\nworkspace/other ticket " +
                                   winner + " since revision " + std::to_string(n) + "\n");
        const auto& loser = first_code == 0 ? *second : *first;
        BOOST_TEST(loser.log().find("by ticket " + winner) != std::string::npos, loser.log());
    }
}

// Guards against tickets for different objects that are refused as conflicting instead of retried.
BOOST_AUTO_TEST_CASE(disjoint_tickets_when_accepted_together_are_all_in_force) {
    std::vector<std::unique_ptr<child_process>> operators;
    std::vector<std::string> numbers;
    constexpr int count = 8;
    numbers.reserve(count);
    operators.reserve(count);
    for (int n = 0; n < count; ++n) {
        numbers.push_back(
            system.create_ticket("pools: {p" + std::to_string(n) + ": {kind: service}}\n"));
    }
    for (const auto& it : numbers) {
        operators.push_back(system.start_ctl({"ticket", "accept", it}));
    }
    for (const auto& it : operators) {
        BOOST_TEST(it->wait() == 0, it->log());
    }
    BOOST_TEST(system.store_revision() == 8U);
}

BOOST_AUTO_TEST_CASE(ticket_lifecycle_when_driven_by_commands_is_shown_by_them) {
    const auto one = system.create_ticket(weight_ticket(1));
    BOOST_TEST(system.ctl({"ticket", "accept", one}).code == 0);
    const auto two = system.create_ticket(weight_ticket(2));
    const auto difference = system.ctl({"ticket", "diff", two});
    BOOST_TEST(difference.text == "workspace/other weight: 1 -> 2\n");
    BOOST_TEST(system.ctl({"ticket", "supersede", one, "--with", two}).code == 0);
    BOOST_TEST(system.ctl({"ticket", "withdraw", two}).code == 0);
    BOOST_TEST(system.ctl({"ticket", "withdraw", two}).code == 0);
    BOOST_TEST(system.ctl({"ticket", "in-force"}).text ==
               "revision 3\nworkspace/other ticket 1 since revision 3\n");
    BOOST_TEST(system.ctl({"ticket", "show", one}).text.find("state: in_force") !=
               std::string::npos);
    BOOST_TEST(system.ctl({"ticket", "accept", "99"}).code == 1);
    BOOST_TEST(system.ctl({"ticket", "accept"}).code == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
