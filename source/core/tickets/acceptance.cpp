#include "tickets/acceptance.h"

#include <optional>

#include "tickets/schema.h"

namespace jujubemast::tickets {

namespace {

std::optional<change_decision> decide_by_state(const ticket& change) {
    switch (change.state) {
    case ticket_state::created:
        return std::nullopt;
    case ticket_state::in_force:
        return already_applied{change.revision};
    case ticket_state::superseded:
        return change_refusal{{"ticket " + std::to_string(change.number) +
                               " is superseded by ticket " + std::to_string(change.superseded_by)}};
    case ticket_state::withdrawn:
        return change_refusal{{"ticket " + std::to_string(change.number) + " is withdrawn"}};
    }
    return std::nullopt;
}

std::vector<std::string> stale_base_reasons(const ticket& change, const object_records& records) {
    std::vector<std::string> reasons;
    for (const auto& [name, base] : change.bases) {
        const auto it = records.find(name);
        const auto revision = it == records.end() ? 0 : it->second.revision;
        if (revision != base) {
            reasons.push_back(name + " was changed at revision " + std::to_string(revision) +
                              " by ticket " + std::to_string(it->second.ticket) +
                              "; this ticket was created on its revision " + std::to_string(base));
        }
    }
    return reasons;
}

change_decision plan_activation(const change_view& view, ticket change,
                                std::optional<ticket> replaced, const std::string& token) {
    const auto records = records_of(view.objects);
    const auto revision = head_revision(view.head) + 1;
    change.state = ticket_state::in_force;
    change.revision = revision;
    change.token = token;
    for (const auto& [name, state] : change.objects) {
        const auto it = records.find(name);
        change.previous[name] = it == records.end() ? object_record{} : it->second;
    }
    const auto after = apply_ticket(records, change);
    auto reasons = stale_base_reasons(change, records);
    for (auto& it : validation_errors(states_of(after))) {
        reasons.push_back(std::move(it));
    }
    if (!reasons.empty()) {
        return change_refusal{std::move(reasons)};
    }
    change_plan result{{}, revision};
    if (replaced) {
        change.supersedes = replaced->state == ticket_state::in_force ? replaced->number : 0;
        replaced->state = ticket_state::superseded;
        replaced->superseded_by = change.number;
        replaced->end_revision = revision;
        replaced->end_token = token;
        add_ticket_write(result.transaction, view.other, *replaced);
    }
    add_ticket_write(result.transaction, view.ticket, change);
    add_configuration_writes(result.transaction, view, revision, after, change.objects);
    return result;
}

std::vector<std::string> missing_object_reasons(const ticket& change, const ticket& replaced) {
    std::vector<std::string> reasons;
    for (const auto& [name, state] : replaced.objects) {
        if (!change.objects.contains(name)) {
            reasons.push_back("ticket " + std::to_string(change.number) + " does not touch " +
                              name + " of ticket " + std::to_string(replaced.number));
        }
    }
    return reasons;
}

} // namespace

change_decision plan_acceptance(const change_view& view, const std::string& token) {
    if (view.ticket.value.is_null()) {
        return change_refusal{{"there is no such ticket"}};
    }
    auto change = ticket_from_json(view.ticket.value);
    if (auto decided = decide_by_state(change)) {
        return *decided;
    }
    return plan_activation(view, std::move(change), std::nullopt, token);
}

change_decision plan_supersession(const change_view& view, const std::string& token) {
    if (view.ticket.value.is_null() || view.other.value.is_null()) {
        return change_refusal{{"there is no such ticket"}};
    }
    auto change = ticket_from_json(view.ticket.value);
    auto replaced = ticket_from_json(view.other.value);
    if (change.number == replaced.number) {
        return change_refusal{{"a ticket cannot supersede itself"}};
    }
    if (replaced.superseded_by == change.number && change.state == ticket_state::in_force) {
        return already_applied{change.revision};
    }
    if (change.state == ticket_state::in_force) {
        return change_refusal{{"ticket " + std::to_string(change.number) +
                               " is in force already, and did not supersede ticket " +
                               std::to_string(replaced.number)}};
    }
    if (auto decided = decide_by_state(change)) {
        return *decided;
    }
    switch (replaced.state) {
    case ticket_state::created:
    case ticket_state::in_force:
        break;
    case ticket_state::superseded:
    case ticket_state::withdrawn:
        return change_refusal{{"ticket " + std::to_string(replaced.number) + " is " +
                               std::string{common::to_name(replaced.state)}}};
    }
    if (auto reasons = missing_object_reasons(change, replaced); !reasons.empty()) {
        return change_refusal{std::move(reasons)};
    }
    return plan_activation(view, std::move(change), std::move(replaced), token);
}

} // namespace jujubemast::tickets
