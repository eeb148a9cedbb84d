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

/// Where a ticket is in its life.
enum class ticket_state { created, in_force, superseded, withdrawn };

/// A numbered change. It carries the whole new state of every object that it touches; a null state
/// removes the object.
struct ticket {
    std::uint64_t number = 0;
    ticket_state state = ticket_state::created;
    object_states objects;
    /// Revision of each touched object at the ticket's creation; zero for an absent one.
    std::map<std::string, std::uint64_t, std::less<>> bases;
    /// What each touched object was before the acceptance, so that a withdrawal can restore it.
    object_records previous;
    /// Revision at which the ticket came into force; zero before.
    std::uint64_t revision = 0;
    /// Revision at which the ticket was superseded, or withdrawn after it had been in force.
    std::uint64_t end_revision = 0;
    /// Number of the ticket in force whose objects this one took over; zero for none.
    std::uint64_t supersedes = 0;
    std::uint64_t superseded_by = 0;
    /// Random tokens of the creation, the acceptance and the end of the ticket. Each settles
    /// whether an unanswered write took effect.
    std::string creation_token;
    std::string token;
    std::string end_token;
};

boost::json::value to_json(const ticket& value);

/// Throws `common::format_error` for a row of another form.
ticket ticket_from_json(const boost::json::value& value);

/// Returns the records of all objects after the ticket has come into force at its revision.
object_records apply_ticket(object_records records, const ticket& change);

/// Reads the objects of a ticket from YAML: sections pools, pipelines, workspaces, priorities and
/// placements,
/// each a map from names to states. Throws `common::format_error` with the lines of all errors.
object_states parse_ticket_file(const std::string& text);

} // namespace jujubemast::tickets

namespace jujubemast::common {

template <>
struct enum_names<tickets::ticket_state> {
    static constexpr std::array<std::string_view, 4> table{"created", "in_force", "superseded",
                                                           "withdrawn"};
};

} // namespace jujubemast::common
