#include "tickets/withdrawal.h"

#include "tickets/schema.h"

namespace jujubemast::tickets {

namespace {

std::vector<std::string> taken_over_reasons(const ticket& change, const object_records& records) {
    std::vector<std::string> reasons;
    for (const auto& [name, state] : change.objects) {
        const auto it = records.find(name);
        // The withdrawal of a later ticket returns the object to this ticket at a higher revision,
        // so the ticket numbers are compared and not the revisions.
        if (it == records.end() || it->second.ticket == change.number) {
            continue;
        }
        reasons.push_back(name + " has the state of ticket " + std::to_string(it->second.ticket) +
                          " since revision " + std::to_string(it->second.revision));
    }
    return reasons;
}

change_decision withdraw_created(const change_view& view, ticket change, const std::string& token) {
    change.state = ticket_state::withdrawn;
    change.end_token = token;
    change_plan result;
    add_ticket_write(result.transaction, view.ticket, change);
    return result;
}

void reinstate_superseded(const change_view& view, table_service::transaction& transaction,
                          const ticket& change) {
    if (view.other.value.is_null()) {
        return;
    }
    auto other = ticket_from_json(view.other.value);
    if (other.number != change.supersedes || other.superseded_by != change.number) {
        return;
    }
    other.state = ticket_state::in_force;
    other.superseded_by = 0;
    other.end_revision = 0;
    add_ticket_write(transaction, view.other, other);
}

change_decision withdraw_in_force(const change_view& view, ticket change,
                                  const std::string& token) {
    auto records = records_of(view.objects);
    auto reasons = taken_over_reasons(change, records);
    if (!reasons.empty()) {
        return change_refusal{std::move(reasons)};
    }
    const auto revision = head_revision(view.head) + 1;
    for (const auto& [name, before] : change.previous) {
        records[name] = {before.state, before.ticket, revision};
    }
    reasons = validation_errors(states_of(records));
    if (!reasons.empty()) {
        return change_refusal{std::move(reasons)};
    }
    change.state = ticket_state::withdrawn;
    change.end_revision = revision;
    change.end_token = token;
    change_plan result{{}, revision};
    add_ticket_write(result.transaction, view.ticket, change);
    reinstate_superseded(view, result.transaction, change);
    add_configuration_writes(result.transaction, view, revision, records, change.objects);
    return result;
}

} // namespace

change_decision plan_withdrawal(const change_view& view, const std::string& token) {
    if (view.ticket.value.is_null()) {
        return change_refusal{{"there is no such ticket"}};
    }
    auto change = ticket_from_json(view.ticket.value);
    switch (change.state) {
    case ticket_state::created:
        return withdraw_created(view, std::move(change), token);
    case ticket_state::in_force:
        return withdraw_in_force(view, std::move(change), token);
    case ticket_state::superseded:
        return change_refusal{{"ticket " + std::to_string(change.number) +
                               " is superseded by ticket " + std::to_string(change.superseded_by)}};
    case ticket_state::withdrawn:
        return already_applied{change.end_revision};
    }
    return change_refusal{};
}

} // namespace jujubemast::tickets
