#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "table_service/store.h"
#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// The state of one object and the ticket that set it. A removed object keeps its row with a null
/// state, so that its revision still shows the change.
struct object_record {
    boost::json::value state;
    /// Number of the ticket that set the state; zero if no ticket has set it.
    std::uint64_t ticket = 0;
    /// Revision at which the state came into force.
    std::uint64_t revision = 0;
};

using object_records = std::map<std::string, object_record, std::less<>>;

/// Returns the key of an object's row: its name with colons in place of slashes.
std::string object_row_key(const std::string& object_name);

/// Returns the value of an object's row.
boost::json::value to_json(const std::string& object_name, const object_record& record);

/// Reads the value of an object's row. Throws an exception if the value is malformed.
std::pair<std::string, object_record> record_from_json(const boost::json::value& value);

/// Reads the records of all objects from their rows, including removed objects.
object_records records_of(const std::vector<table_service::row>& rows);

/// Returns the states of all objects that have not been removed.
object_states states_of(const object_records& records);
object_states states_of(const std::vector<table_service::row>& rows);

} // namespace jujubemast::tickets
