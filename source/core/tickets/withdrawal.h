#pragma once

#include <string>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// Decides on the withdrawal of a ticket. For a ticket in force this is a new revision that gives
/// every object that it touched its previous state again; it is refused when a later ticket has
/// taken one of them over, because that ticket stays in force. The other row is the ticket that
/// the withdrawn one superseded, which is in force again.
change_decision plan_withdrawal(const change_view& view, const std::string& token);

} // namespace jujubemast::tickets
