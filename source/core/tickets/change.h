#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "platform/store.h"
#include "tickets/ticket.h"

namespace jujubemast::tickets {

/// The rows that a change of the configuration is decided on, as read from the table service.
struct change_view {
    platform::row head;
    platform::row ticket;
    /// The ticket that is superseded, or whose objects a withdrawal gives back; null for none.
    platform::row other;
    std::vector<platform::row> objects;
};

/// Every reason why a change is refused.
struct change_refusal {
    std::vector<std::string> reasons;
};

/// The change has already taken effect, with this revision.
struct change_done {
    std::uint64_t revision = 0;
};

/// The transaction that makes the change, and the revision that it brings into force; zero for a
/// change that leaves the configuration as it is.
struct change_plan {
    platform::transaction work;
    std::uint64_t revision = 0;
};

using change_decision = std::variant<change_plan, change_done, change_refusal>;

/// Decides on a change. The token names this attempt in the ticket's row.
using change_hook = std::function<change_decision(const change_view&, const std::string& token)>;

/// Returns the revision of the head row; zero when there is none.
std::uint64_t head_revision(const platform::row& head);

/// Returns the faults of the configuration that these objects would make.
std::vector<std::string> faults_of(const object_states& objects);

/// Adds the condition that the row has not changed since it was read, and its new value.
void add_ticket(platform::transaction& work, const platform::row& row, const ticket& value);

/// Adds the head row and the named objects with their new records to the transaction.
void add_configuration(platform::transaction& work, const change_view& view, std::uint64_t revision,
                       const object_records& after, const object_states& touched);

} // namespace jujubemast::tickets
