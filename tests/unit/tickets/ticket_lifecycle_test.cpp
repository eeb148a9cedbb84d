#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/error.h"
#include "standins/table_storage.h"
#include "tickets/acceptance.h"
#include "tickets/creation.h"
#include "tickets/difference.h"
#include "tickets/schema.h"
#include "tickets/withdrawal.h"

namespace jujubemast::tests {

using namespace jujubemast::tickets;

/// Applies decisions to rows in memory, as jujubemast-ctl applies them to the table service.
struct ticket_lifecycle_fixture {
    standins::table_storage store;

    [[nodiscard]] table_service::row ticket_row(std::uint64_t number) const {
        return number == 0 ? table_service::row{}
                           : store.read({tickets_table, ticket_row_key(number)});
    }

    [[nodiscard]] ticket read_ticket(std::uint64_t number) const {
        return ticket_from_json(ticket_row(number).value);
    }

    [[nodiscard]] change_view view(std::uint64_t number, std::uint64_t other = 0) const {
        return {store.read({head_table, head_key}), ticket_row(number), ticket_row(other),
                store.scan(objects_table, "")};
    }

    creation_decision create(const std::string& yaml) {
        const auto touched = parse_ticket_file(yaml);
        creation_view current_view{
            store.read({head_table, last_number_key}), store.scan(objects_table, ""), {}, {}};
        current_view.content =
            store.read({contents_table, content_key(touched, records_of(current_view.objects))});
        if (const auto* it = current_view.content.value.if_object()) {
            current_view.same_content = ticket_row(it->at("number").to_number<std::uint64_t>());
        }
        auto decision = plan_creation(current_view, touched, "creation");
        if (const auto* plan = std::get_if<creation_plan>(&decision)) {
            BOOST_TEST(store.commit(plan->transaction));
        }
        return decision;
    }

    std::uint64_t created(const std::string& yaml) {
        return std::get<creation_plan>(create(yaml)).number;
    }

    std::string run(const change_decision& decision) {
        if (const auto* refusal = std::get_if<change_refusal>(&decision)) {
            return refusal->reasons.empty() ? "refused" : refusal->reasons.front();
        }
        if (const auto* plan = std::get_if<change_plan>(&decision)) {
            return store.commit(plan->transaction) ? "" : "conflict";
        }
        return "done before";
    }

    std::string accept(std::uint64_t number) { return run(plan_acceptance(view(number), "token")); }
    std::string supersede(std::uint64_t number, std::uint64_t with) {
        return run(plan_supersession(view(with, number), "token"));
    }
    std::string withdraw(std::uint64_t number) {
        return run(plan_withdrawal(view(number, read_ticket(number).supersedes), "token"));
    }

    [[nodiscard]] object_record object(const std::string& name) const {
        return records_of(store.scan(objects_table, "")).at(name);
    }
};

constexpr const char* pool_a = "pools: {a: {kind: service}}";
constexpr const char* pool_a_engine = "pools: {a: {kind: engine}}";
constexpr const char* pool_b = "pools: {b: {kind: service}}";

BOOST_FIXTURE_TEST_SUITE(ticket_lifecycle_test, ticket_lifecycle_fixture)

// Guards against conflicts between tickets that touch different objects.
BOOST_AUTO_TEST_CASE(tickets_when_objects_are_disjoint_are_both_accepted) {
    const auto one = created(pool_a);
    const auto two = created(pool_b);
    BOOST_TEST(accept(one).empty());
    BOOST_TEST(accept(two).empty());
    BOOST_TEST(object("pool/a").ticket == one);
    BOOST_TEST(object("pool/b").ticket == two);
}

// Guards against a ticket that silently overwrites one accepted after its creation.
BOOST_AUTO_TEST_CASE(ticket_when_base_has_changed_is_refused_and_names_the_other_ticket) {
    const auto one = created(pool_a);
    const auto two = created(pool_a_engine);
    BOOST_TEST(accept(one).empty());
    BOOST_TEST(accept(two) == "pool/a was changed at revision 1 by ticket 1; this ticket was "
                              "created on its revision 0");
    BOOST_TEST(object("pool/a").ticket == one);
}

// Guards against lost updates: two operators read the same rows and both transactions commit.
BOOST_AUTO_TEST_CASE(acceptances_when_planned_on_the_same_view_commit_once) {
    const auto one = plan_acceptance(view(created(pool_a)), "one");
    const auto two = plan_acceptance(view(created(pool_a_engine)), "two");
    BOOST_TEST(run(one).empty());
    BOOST_TEST(run(two) == "conflict");
}

// Guards against creating a second ticket when a creation is repeated after a lost response.
BOOST_AUTO_TEST_CASE(creation_when_repeated_returns_the_existing_ticket) {
    const auto one = created(pool_a);
    BOOST_TEST(std::get<already_created>(create(pool_a)).number == one);
    BOOST_TEST(withdraw(one).empty());
    BOOST_TEST(created(pool_a) == one + 1);
}

BOOST_AUTO_TEST_CASE(creation_when_ticket_is_invalid_lists_every_error) {
    const auto refusal =
        std::get<change_refusal>(create("pools: {a: {kind: round}, b: {colour: red}}"));
    BOOST_TEST(refusal.reasons.size() == 3U);
    BOOST_CHECK_THROW(parse_ticket_file("pools: {}"), common::format_error);
    BOOST_CHECK_THROW(parse_ticket_file("pools: {a: {kind: service}, a: {kind: engine}}"),
                      common::format_error);
}

BOOST_AUTO_TEST_CASE(supersession_when_all_objects_are_touched_takes_them_over) {
    const auto one = created(pool_a);
    accept(one);
    const auto partial = created(pool_b);
    BOOST_TEST(supersede(one, partial) == "ticket 2 does not touch pool/a of ticket 1");
    const auto superseding = created(pool_a_engine);
    BOOST_TEST(supersede(one, superseding).empty());
    BOOST_TEST(supersede(one, superseding) == "done before");
    BOOST_TEST((read_ticket(one).state == ticket_state::superseded));
    BOOST_TEST(read_ticket(one).superseded_by == superseding);
    BOOST_TEST(accept(one) == "ticket 1 is superseded by ticket 3");
}

// Guards against a withdrawal that lowers the revision or leaves the withdrawn state in force.
BOOST_AUTO_TEST_CASE(withdrawal_when_in_force_restores_the_state_at_a_higher_revision) {
    const auto one = created(pool_a);
    accept(one);
    const auto two = created(pool_a_engine);
    BOOST_TEST(supersede(one, two).empty());
    BOOST_TEST(withdraw(two).empty());
    const auto restored = object("pool/a");
    BOOST_TEST(restored.revision == 3U);
    BOOST_TEST(restored.ticket == one);
    BOOST_TEST(restored.state.at("kind").as_string() == "service");
    BOOST_TEST((read_ticket(one).state == ticket_state::in_force));
    BOOST_TEST(withdraw(two) == "done before");
    BOOST_TEST(withdraw(one).empty());
    BOOST_TEST(object("pool/a").state.is_null());
}

// Guards against a withdrawal that reverts a later ticket or leaves references to removed objects.
BOOST_AUTO_TEST_CASE(withdrawal_when_a_later_ticket_depends_on_it_is_refused) {
    const auto one = created(pool_a);
    accept(one);
    const auto two = created(pool_a_engine);
    accept(two);
    BOOST_TEST(withdraw(one) == "pool/a has the state of ticket 2 since revision 2");
    accept(created("pipelines: {p: {priority: urgent, deadline_ms: 9, stages: [{name: s, pool: a, "
                   "operation: o}]}}"));
    BOOST_TEST(withdraw(two).empty());
    BOOST_TEST(withdraw(one) == "pipeline/p refers to the unknown pool/a");
}

BOOST_AUTO_TEST_CASE(difference_when_a_member_changes_names_it) {
    const auto found = compare(parse_ticket_file(pool_a), parse_ticket_file(pool_a_engine));
    BOOST_TEST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found.front().member == "kind");
    BOOST_TEST(found.front().after == "\"engine\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubemast::tests
