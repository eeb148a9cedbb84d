#include "tickets/creation.h"

#include <boost/json.hpp>

#include "common/digest.h"
#include "tickets/schema.h"

namespace jujubemast::tickets {

std::map<std::string, std::uint64_t, std::less<>> bases_of(const object_states& touched,
                                                           const object_records& records) {
    std::map<std::string, std::uint64_t, std::less<>> bases;
    for (const auto& [name, state] : touched) {
        const auto it = records.find(name);
        bases[name] = it == records.end() ? 0 : it->second.revision;
    }
    return bases;
}

std::string content_key(const object_states& touched, const object_records& records) {
    std::string text;
    for (const auto& [name, base] : bases_of(touched, records)) {
        text += name + "\n" + std::to_string(base) + "\n" +
                boost::json::serialize(touched.at(name)) + "\n";
    }
    return common::sha256_hex(text);
}

creation_decision plan_creation(const creation_view& view, const object_states& touched,
                                const std::string& token) {
    const auto records = records_of(view.objects);
    if (!view.same_content.value.is_null()) {
        const auto existing = ticket_from_json(view.same_content.value);
        if (existing.state == ticket_state::created) {
            return already_created{existing.number};
        }
    }
    ticket added;
    added.number = 1;
    if (const auto* last = view.last_number.value.if_object()) {
        added.number = last->at("number").to_number<std::uint64_t>() + 1;
    }
    added.objects = touched;
    added.bases = bases_of(touched, records);
    added.creation_token = token;
    if (auto errors = validation_errors(states_of(apply_ticket(records, added))); !errors.empty()) {
        return change_refusal{std::move(errors)};
    }
    const table_service::row_key number{head_table, last_number_key};
    const table_service::row_key content{contents_table, content_key(touched, records)};
    const boost::json::value reference = boost::json::object{{"number", added.number}};
    creation_plan plan{{}, added.number};
    add_ticket_write(plan.transaction, {ticket_row_key(added.number), 0, nullptr}, added);
    plan.transaction.conditions.push_back({number, view.last_number.version});
    plan.transaction.conditions.push_back({content, view.content.version});
    plan.transaction.writes.push_back({number, reference});
    plan.transaction.writes.push_back({content, reference});
    return plan;
}

} // namespace jujubemast::tickets
