#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// The rows read from the table service to decide on the creation of a ticket.
struct creation_view {
    table_service::row last_number;
    std::vector<table_service::row> objects;
    /// The row that maps the content to a ticket number, and the row of that ticket. Their values
    /// are null if there is none.
    table_service::row content;
    table_service::row same_content;
};

/// A ticket with the same content and base revisions exists in the state `created`.
struct already_created {
    std::uint64_t number = 0;
};

struct creation_plan {
    table_service::transaction transaction;
    std::uint64_t number = 0;
};

using creation_decision = std::variant<creation_plan, already_created, change_refusal>;

/// Returns the current revision of each touched object, zero for objects that do not exist.
std::map<std::string, std::uint64_t, std::less<>> bases_of(const object_states& touched,
                                                           const object_records& records);

/// Returns the key of the row that maps a content and its base revisions to a ticket number.
std::string content_key(const object_states& touched, const object_records& records);

/// Decides on the creation of a ticket. The ticket is refused if applying it to the configuration
/// in force would give an invalid configuration.
creation_decision plan_creation(const creation_view& view, const object_states& touched,
                                const std::string& token);

} // namespace jujubemast::tickets
