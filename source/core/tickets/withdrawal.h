#pragma once

#include <string>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// Decides on the withdrawal of a ticket. Withdrawing a ticket in force creates a new revision that
/// restores the previous state of every object that the ticket touched. This is refused if a later
/// ticket has changed one of these objects, because that ticket stays in force. The other row of
/// the view is the ticket that the withdrawn one superseded; it comes back into force.
change_decision plan_withdrawal(const change_view& view, const std::string& token);

} // namespace jujubemast::tickets
