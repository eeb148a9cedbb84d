#pragma once

#include "common/time.h"
#include "settings/settings.h"

namespace jujubemast::gateway {

/// Requests without a response are answered this long before an ordered stop closes their
/// connections.
inline constexpr common::duration stop_margin = std::chrono::milliseconds{400};

/// Times of an ordered stop. The platform kills the process when its grace is over.
struct stop_schedule {
    /// After SIGTERM, connections are accepted for this long.
    common::duration accept = common::duration::zero();
    /// After SIGTERM, requests in progress are cut off at this time.
    common::duration limit = common::duration::zero();
    /// How long the stop may then wait for the store, which may be down.
    common::duration unregister = common::duration::zero();
    /// How long the stop may then wait for gateways that do not acknowledge outcomes.
    common::duration acknowledgement = common::duration::zero();
};

/// Returns the schedule that leaves as much of the platform's grace as possible to the requests in
/// progress. `accept` is the longest time in which connections are accepted; a short grace shortens
/// it.
stop_schedule make_stop_schedule(common::duration grace, common::duration accept);

/// Returns the schedule that the settings ask for. Throws `common::settings_error` if the process
/// would be killed before it has ended.
stop_schedule make_stop_schedule(const settings::values& values);

} // namespace jujubemast::gateway
