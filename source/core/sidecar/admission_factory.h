#pragma once

#include "policy/concurrency_limit.h"
#include "policy/shares.h"
#include "policy/work_queue.h"
#include "settings/settings.h"
#include "tickets/configuration.h"

namespace jujubemast::sidecar {

/// Builds the queue that the settings ask for.
policy::queue_hooks make_queue(const settings::values& values, const policy::shares& initial);

/// Builds the limit of calls in progress that the settings ask for.
policy::limit_hooks make_limit(const settings::values& values);

/// Floors from the settings and equal weights, for the time before a configuration is known.
policy::shares default_shares(const settings::values& values);

/// Floors and weights of a configuration. The default floors stay while it sets none.
policy::shares shares_of(const tickets::configuration& current, const policy::shares& defaults);

} // namespace jujubemast::sidecar
