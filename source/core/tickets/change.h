#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "table_service/store.h"
#include "tickets/ticket.h"

namespace jujubemast::tickets {

/// The rows that a change of the configuration is decided on, as read from the table service.
struct change_view {
    table_service::row head;
    table_service::row ticket;
    /// The ticket that is superseded, or whose objects a withdrawal gives back; null for none.
    table_service::row other;
    std::vector<table_service::row> objects;
};

/// Every reason why a change is refused.
struct change_refusal {
    std::vector<std::string> reasons;
};

/// The change has already taken effect, with this revision.
struct already_applied {
    std::uint64_t revision = 0;
};

/// The transaction that makes the change, and the revision that it brings into force; zero for a
/// change that leaves the configuration as it is.
struct change_plan {
    table_service::transaction transaction;
    std::uint64_t revision = 0;
};

using change_decision = std::variant<change_plan, already_applied, change_refusal>;

/// Decides on a change. The token names this attempt in the ticket's row.
using change_hook = std::function<change_decision(const change_view&, const std::string& token)>;

/// Returns the revision of the head row; zero when there is none.
std::uint64_t head_revision(const table_service::row& head);

/// Returns the errors of the configuration that these objects would make.
std::vector<std::string> validation_errors(const object_states& objects);

/// Adds the condition that the row has not changed since it was read, and its new value.
void add_ticket_write(table_service::transaction& transaction, const table_service::row& row,
                      const ticket& value);

/// Adds the head row and the named objects with their new records to the transaction.
void add_configuration_writes(table_service::transaction& transaction, const change_view& view,
                              std::uint64_t revision, const object_records& after,
                              const object_states& touched);

} // namespace jujubemast::tickets
