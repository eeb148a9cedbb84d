#include "tickets/object_record.h"

#include <algorithm>

#include <boost/json.hpp>

#include "tickets/schema.h"

namespace jujubemast::tickets {

std::string object_row_key(const std::string& object_name) {
    auto key = object_name;
    std::replace(key.begin(), key.end(), '/', ':');
    return key;
}

boost::json::value to_json(const std::string& object_name, const object_record& record) {
    return boost::json::object{{"name", object_name},
                               {"state", record.state},
                               {"ticket", record.ticket},
                               {"revision", record.revision}};
}

std::pair<std::string, object_record> record_from_json(const boost::json::value& value) {
    const auto& row = value.as_object();
    return {std::string{row.at("name").as_string()},
            {row.at("state"), row.at("ticket").to_number<std::uint64_t>(),
             row.at("revision").to_number<std::uint64_t>()}};
}

object_records records_of(const std::vector<table_service::row>& rows) {
    object_records records;
    for (const auto& it : rows) {
        records.insert(record_from_json(it.value));
    }
    return records;
}

object_states states_of(const object_records& records) {
    object_states objects;
    for (const auto& [name, record] : records) {
        if (!record.state.is_null()) {
            objects.emplace(name, record.state);
        }
    }
    return objects;
}

object_states states_of(const std::vector<table_service::row>& rows) {
    return states_of(records_of(rows));
}

std::string ticket_row_key(std::uint64_t number) {
    constexpr std::size_t width = 12;
    const auto digits = std::to_string(number);
    return std::string(width - std::min(width, digits.size()), '0') + digits;
}

} // namespace jujubemast::tickets
