#pragma once

#include <string>
#include <variant>
#include <vector>

#include "platform/store.h"
#include "tickets/ticket.h"

namespace jujubemast::tickets {

/// The rows that an acceptance is decided on, as read from the table service.
struct acceptance_view {
    platform::row head;
    platform::row ticket;
    std::vector<platform::row> objects;
};

/// Why a ticket cannot be accepted.
struct acceptance_refusal {
    std::string reason;
};

/// The acceptance has already taken effect with this revision.
struct already_accepted {
    std::uint64_t revision = 0;
};

/// The transaction that accepts the ticket, and the revision that it brings into force.
struct acceptance_plan {
    platform::transaction work;
    std::uint64_t revision = 0;
};

using acceptance_decision = std::variant<acceptance_plan, already_accepted, acceptance_refusal>;

/// Decides on the acceptance of a ticket. The transaction holds only if neither the head row nor
/// the ticket nor any touched object has changed since the view was read; the token names this
/// acceptance in the ticket's row.
acceptance_decision plan_acceptance(const acceptance_view& view, const std::string& token);

} // namespace jujubemast::tickets
