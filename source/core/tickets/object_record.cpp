#include "tickets/object_record.h"

#include <algorithm>

#include <boost/json.hpp>

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

object_records records_of(const std::vector<platform::row>& rows) {
    object_records records;
    for (const auto& it : rows) {
        const auto& row = it.value.as_object();
        records.emplace(std::string{row.at("name").as_string()},
                        object_record{row.at("state"), row.at("ticket").to_number<std::uint64_t>(),
                                      row.at("revision").to_number<std::uint64_t>()});
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

object_states states_of(const std::vector<platform::row>& rows) {
    return states_of(records_of(rows));
}

} // namespace jujubemast::tickets
