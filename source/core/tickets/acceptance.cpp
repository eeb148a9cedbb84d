#include "tickets/acceptance.h"

#include <algorithm>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/object_record.h"
#include "tickets/schema.h"

namespace jujubemast::tickets {

namespace {

std::uint64_t head_revision(const platform::row& head) {
    const auto* value = head.value.if_object();
    return value == nullptr ? 0 : value->at("revision").to_number<std::uint64_t>();
}

std::uint64_t version_of(const std::vector<platform::row>& rows, const std::string& key) {
    const auto it = std::find_if(rows.begin(), rows.end(),
                                 [&](const platform::row& row) { return row.key == key; });
    return it == rows.end() ? 0 : it->version;
}

void add_object_writes(const acceptance_view& view, const ticket& change,
                       platform::transaction& work) {
    for (const auto& [name, state] : change.objects) {
        const platform::row_key target{objects_table, object_row_key(name)};
        work.conditions.push_back({target, version_of(view.objects, target.key)});
        work.writes.push_back({target, to_json(name, {state, change.number, change.revision})});
    }
}

} // namespace

acceptance_decision plan_acceptance(const acceptance_view& view, const std::string& token) {
    if (view.ticket.value.is_null()) {
        return acceptance_refusal{"there is no such ticket"};
    }
    auto change = ticket_from_json(view.ticket.value);
    switch (change.state) {
    case ticket_state::in_force:
        return already_accepted{change.revision};
    case ticket_state::superseded:
        return acceptance_refusal{"the ticket is superseded"};
    case ticket_state::withdrawn:
        return acceptance_refusal{"the ticket is withdrawn"};
    case ticket_state::created:
        break;
    }
    const auto after = apply_ticket(states_of(view.objects), change);
    const auto revision = head_revision(view.head) + 1;
    try {
        parse_configuration(revision, after);
    } catch (const common::format_error& e) {
        return acceptance_refusal{e.what()};
    }
    change.state = ticket_state::in_force;
    change.revision = revision;
    change.token = token;

    acceptance_plan plan;
    plan.revision = revision;
    const platform::row_key head{head_table, head_key};
    const platform::row_key row{tickets_table, view.ticket.key};
    plan.work.conditions = {{head, view.head.version}, {row, view.ticket.version}};
    plan.work.writes = {{head, boost::json::object{{"revision", revision},
                                                   {"digest", digest_of(after)},
                                                   {"ticket", change.number}}},
                        {row, to_json(change)}};
    add_object_writes(view, change, plan.work);
    return plan;
}

} // namespace jujubemast::tickets
