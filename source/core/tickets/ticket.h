#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <boost/json/value.hpp>

#include "common/enum_names.h"
#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// Where a ticket is in its life.
enum class ticket_state { created, in_force, superseded, withdrawn };

/// A numbered change. It carries the whole new state of every object that it touches; a null state
/// removes the object.
struct ticket {
    std::uint64_t number = 0;
    ticket_state state = ticket_state::created;
    object_states objects;
    /// Revision at which the ticket came into force; zero before.
    std::uint64_t revision = 0;
    /// Random token of the acceptance, which settles whether an unanswered write took effect.
    std::string token;
};

boost::json::value to_json(const ticket& value);

/// Throws `common::format_error` for a row of another form.
ticket ticket_from_json(const boost::json::value& value);

/// Returns the state of the configuration after the ticket.
object_states apply_ticket(object_states objects, const ticket& change);

/// Reads the objects of a ticket from YAML: sections pools, pipelines, workspaces and priorities,
/// each a map from names to states. Throws `common::format_error` with the line of a fault.
object_states parse_ticket_file(const std::string& text);

} // namespace jujubemast::tickets

namespace jujubemast::common {

template <>
struct enum_names<tickets::ticket_state> {
    static constexpr std::array<std::string_view, 4> table{"created", "in_force", "superseded",
                                                           "withdrawn"};
};

} // namespace jujubemast::common
