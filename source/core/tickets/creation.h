#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// The rows that the creation of a ticket is decided on.
struct creation_view {
    table_service::row last_number;
    std::vector<table_service::row> objects;
    /// The row of the ticket's content, and the ticket that it leads to; null for none.
    table_service::row content;
    table_service::row same_content;
};

/// A created ticket has the same content and the same base.
struct already_created {
    std::uint64_t number = 0;
};

struct creation_plan {
    table_service::transaction transaction;
    std::uint64_t number = 0;
};

using creation_decision = std::variant<creation_plan, already_created, change_refusal>;

/// Returns the revisions of the objects that a ticket touches.
std::map<std::string, std::uint64_t, std::less<>> bases_of(const object_states& touched,
                                                           const object_records& records);

/// Returns the key of the row that leads from a content and its base to a ticket.
std::string content_key(const object_states& touched, const object_records& records);

/// Decides on the creation of a ticket. The ticket must be valid on the configuration in force.
creation_decision plan_creation(const creation_view& view, const object_states& touched,
                                const std::string& token);

} // namespace jujubemast::tickets
