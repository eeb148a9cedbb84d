#include "tickets/acceptance.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/digest.h"
#include "common/error.h"
#include "tickets/creation.h"

namespace jujubemast::tests {

using namespace jujubemast::tickets;

struct acceptance_fixture {
    change_view view{{"configuration", 0, nullptr}, {"1", 1, nullptr}, {}, {}};

    void set_ticket(const std::string& yaml) {
        ticket change;
        change.number = 1;
        change.objects = parse_ticket_file(yaml);
        change.bases = bases_of(change.objects, records_of(view.objects));
        view.ticket.value = to_json(change);
    }
};

BOOST_FIXTURE_TEST_SUITE(acceptance_test, acceptance_fixture)

BOOST_AUTO_TEST_CASE(acceptance_when_ticket_is_valid_plans_the_next_revision) {
    set_ticket("pools: {encoders: {kind: service}}");
    const auto plan = std::get<change_plan>(plan_acceptance(view, "token"));
    BOOST_TEST(plan.revision == 1U);
    BOOST_TEST(plan.transaction.conditions.size() == 3U);
    BOOST_TEST(plan.transaction.writes.size() == 3U);
}

// Guards against accepting a ticket that refers to objects that do not exist.
BOOST_AUTO_TEST_CASE(acceptance_when_referenced_object_is_missing_is_refused_and_names_it) {
    set_ticket("pipelines: {draft: {priority: standard, deadline_ms: 5000, "
               "stages: [{name: encode, pool: missing, operation: encode}]}}");
    const auto refusal = std::get<change_refusal>(plan_acceptance(view, "token"));
    BOOST_TEST_REQUIRE(refusal.reasons.size() == 1U);
    BOOST_TEST(refusal.reasons.front() == "pipeline/draft refers to the unknown pool/missing");
}

BOOST_AUTO_TEST_CASE(acceptance_when_ticket_is_in_force_reports_its_revision) {
    ticket change;
    change.number = 1;
    change.state = ticket_state::in_force;
    change.revision = 4;
    view.ticket.value = to_json(change);
    const auto decision = plan_acceptance(view, "token");
    BOOST_TEST(std::get<already_applied>(decision).revision == 4U);
}

BOOST_AUTO_TEST_CASE(configuration_when_member_is_unknown_is_rejected_and_names_it) {
    const auto objects = parse_ticket_file("pools: {encoders: {kind: service, colour: red}}");
    try {
        parse_configuration(1, objects);
        BOOST_FAIL("accepted an unknown key");
    } catch (const common::format_error& e) {
        BOOST_TEST(std::string{e.what()} == "pool/encoders has the unknown key colour");
    }
}

BOOST_AUTO_TEST_CASE(configuration_when_api_key_matches_returns_its_workspace) {
    const auto objects =
        parse_ticket_file("workspaces: {one: {key_sha256: " + common::sha256_hex("secret") + "}}");
    const auto state = parse_configuration(1, objects);
    BOOST_TEST(state.authenticate("secret")->name == "one");
    BOOST_TEST(state.authenticate("other") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
