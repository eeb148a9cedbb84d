#pragma once

#include "policy/capacity_shares.h"
#include "policy/concurrency_limit.h"
#include "policy/work_queue.h"
#include "settings/settings.h"
#include "tickets/configuration.h"

namespace jujubemast::sidecar {

/// Creates the queue that the settings select.
policy::queue_hooks make_queue(const settings::values& values,
                               const policy::capacity_shares& initial);

/// Creates the limit of calls in progress that the settings select.
policy::limit_hooks make_limit(const settings::values& values);

/// Returns the floors from the settings with equal weights, used until a configuration is known.
policy::capacity_shares default_shares(const settings::values& values);

/// Returns the floors and weights of a configuration. The default floors apply if it sets none.
policy::capacity_shares shares_of(const tickets::configuration& current,
                                  const policy::capacity_shares& defaults);

} // namespace jujubemast::sidecar
