#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/json/value.hpp>

#include "common/enum_names.h"
#include "tickets/configuration.h"
#include "tickets/object_record.h"

namespace jujubemast::tickets {

/// Lifecycle state of a ticket.
enum class ticket_state { created, in_force, superseded, withdrawn };

/// A numbered change of the configuration. It holds the complete new state of every object that it
/// touches. A null state removes the object.
struct ticket {
    std::uint64_t number = 0;
    ticket_state state = ticket_state::created;
    object_states objects;
    /// Revision of each touched object when the ticket was created; zero for an object that did not
    /// exist.
    std::map<std::string, std::uint64_t, std::less<>> bases;
    /// Record of each touched object before the ticket was accepted, which a withdrawal restores.
    object_records previous;
    /// Revision at which the ticket came into force; zero until then.
    std::uint64_t revision = 0;
    /// Revision at which the ticket was superseded, or withdrawn while it was in force.
    std::uint64_t end_revision = 0;
    /// Number of the ticket that was in force until this one superseded it; zero for none.
    std::uint64_t supersedes = 0;
    std::uint64_t superseded_by = 0;
    /// Random tokens of the creation, the acceptance and the end of the ticket. After a write
    /// without a response, the token in the row shows whether the write took effect.
    std::string creation_token;
    std::string token;
    std::string end_token;
};

boost::json::value to_json(const ticket& value);

/// Throws `common::format_error` if the row is malformed.
ticket ticket_from_json(const boost::json::value& value);

/// Returns the records of all objects after applying the ticket at its revision.
object_records apply_ticket(object_records records, const ticket& change);

/// Reads the objects of a ticket from YAML. The sections pools, pipelines, workspaces, priorities
/// and placements each map names to states. Throws a `common::format_error` that lists all errors
/// with their line numbers.
object_states parse_ticket_file(const std::string& text);

} // namespace jujubemast::tickets

namespace jujubemast::common {

template <>
struct enum_names<tickets::ticket_state> {
    static constexpr std::array<std::string_view, 4> table{"created", "in_force", "superseded",
                                                           "withdrawn"};
};

} // namespace jujubemast::common
