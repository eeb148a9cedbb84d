#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "table_service/store.h"
#include "tickets/ticket.h"

namespace jujubemast::tickets {

/// The rows read from the table service to decide on a change of the configuration.
struct change_view {
    table_service::row head;
    table_service::row ticket;
    /// The ticket that is superseded, or that a withdrawal brings back into force. Its value is
    /// null if there is none.
    table_service::row other;
    std::vector<table_service::row> objects;
};

/// The change is refused, for all of these reasons.
struct change_refusal {
    std::vector<std::string> reasons;
};

/// The change was applied earlier, at this revision.
struct already_applied {
    std::uint64_t revision = 0;
};

/// The transaction that applies the change, and the revision that it brings into force. The
/// revision is zero if the change does not alter the configuration.
struct change_plan {
    table_service::transaction transaction;
    std::uint64_t revision = 0;
};

using change_decision = std::variant<change_plan, already_applied, change_refusal>;

/// Decides on a change. The token is stored in the ticket's row, so that the caller can recognize
/// its own write after a lost response.
using change_hook = std::function<change_decision(const change_view&, const std::string& token)>;

/// Returns the revision of the head row, or zero if the row does not exist.
std::uint64_t head_revision(const table_service::row& head);

/// Validates the configuration that consists of these objects and returns all errors.
std::vector<std::string> validation_errors(const object_states& objects);

/// Adds a write of the ticket's row to the transaction, on condition that the row has not changed
/// since it was read.
void add_ticket_write(table_service::transaction& transaction, const table_service::row& row,
                      const ticket& value);

/// Adds writes of the head row and of the touched objects to the transaction, on condition that
/// these rows have not changed since they were read.
void add_configuration_writes(table_service::transaction& transaction, const change_view& view,
                              std::uint64_t revision, const object_records& after,
                              const object_states& touched);

} // namespace jujubemast::tickets
