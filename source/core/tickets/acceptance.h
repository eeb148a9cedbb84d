#pragma once

#include <string>

#include "tickets/change.h"

namespace jujubemast::tickets {

/// Decides on the acceptance of a ticket. It is refused when an object that it touches has changed
/// since its creation. The transaction holds only if neither the head row nor the ticket nor any
/// touched object has changed since the view was read.
change_decision plan_acceptance(const change_view& view, const std::string& token);

/// Decides on the acceptance of a ticket that takes over all objects of the other ticket.
change_decision plan_supersession(const change_view& view, const std::string& token);

} // namespace jujubemast::tickets
