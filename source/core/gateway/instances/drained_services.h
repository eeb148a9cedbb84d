#pragma once

#include <set>
#include <string>

#include "gateway/instances/instance_filter.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::instances {

/// Returns the services whose instances are all in drained failure domains, apart from those that
/// are about to stop. Their requests cannot be sent until a drain ends.
std::set<std::string> find_drained_services(const upstream_map& known);

/// Whether a service has an allowed instance that is neither in a drained failure domain nor about
/// to stop.
bool has_instance_in(const upstream_map& known, const std::string& service,
                     const instance_filter& allowed);

} // namespace jujubemast::gateway::instances
