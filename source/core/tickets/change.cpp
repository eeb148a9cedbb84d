#include "tickets/change.h"

#include <algorithm>
#include <sstream>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/schema.h"

namespace jujubemast::tickets {

namespace {

std::uint64_t version_of(const std::vector<table_service::row>& rows, const std::string& key) {
    const auto it = std::find_if(rows.begin(), rows.end(),
                                 [&](const table_service::row& row) { return row.key == key; });
    return it == rows.end() ? 0 : it->version;
}

} // namespace

std::uint64_t head_revision(const table_service::row& head) {
    const auto* value = head.value.if_object();
    return value == nullptr ? 0 : value->at("revision").to_number<std::uint64_t>();
}

std::vector<std::string> validation_errors(const object_states& objects) {
    std::vector<std::string> errors;
    try {
        parse_configuration(0, objects);
    } catch (const common::format_error& e) {
        std::istringstream lines{e.what()};
        for (std::string it; std::getline(lines, it);) {
            errors.push_back(it);
        }
    }
    return errors;
}

void add_ticket_write(table_service::transaction& transaction, const table_service::row& row,
                      const ticket& value) {
    const table_service::row_key target{tickets_table, row.key};
    transaction.conditions.push_back({target, row.version});
    transaction.writes.push_back({target, to_json(value)});
}

void add_configuration_writes(table_service::transaction& transaction, const change_view& view,
                              std::uint64_t revision, const object_records& after,
                              const object_states& touched) {
    const table_service::row_key head{head_table, head_key};
    transaction.conditions.push_back({head, view.head.version});
    transaction.writes.push_back(
        {head,
         boost::json::object{{"revision", revision}, {"digest", digest_of(states_of(after))}}});
    for (const auto& [name, state] : touched) {
        const table_service::row_key target{objects_table, object_row_key(name)};
        transaction.conditions.push_back({target, version_of(view.objects, target.key)});
        transaction.writes.push_back({target, to_json(name, after.at(name))});
    }
}

} // namespace jujubemast::tickets
