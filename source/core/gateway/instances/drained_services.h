#pragma once

#include <set>
#include <string>

#include "gateway/upstream_list.h"

namespace jujubemast::gateway::instances {

/// Returns the services whose instances are all in drained failure domains, apart from those that
/// are about to stop. Their requests cannot be sent until a drain ends.
std::set<std::string> find_drained_services(const upstream_map& known);

} // namespace jujubemast::gateway::instances
