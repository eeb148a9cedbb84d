#pragma once

#include <string>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// Decides on the acceptance of a ticket. The ticket is refused if any of its objects has changed
/// since the ticket was created. The transaction of the plan commits only if the head row, the
/// ticket and its objects have not changed since the view was read.
change_decision plan_acceptance(const change_view& view, const std::string& token);

/// Decides on the acceptance of a ticket that supersedes the other ticket of the view. It must
/// touch every object of that ticket.
change_decision plan_supersession(const change_view& view, const std::string& token);

} // namespace jujubemast::tickets
