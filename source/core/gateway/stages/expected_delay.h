#pragma once

#include <cstddef>
#include <functional>

#include "common/time.h"
#include "gateway/configuration.h"
#include "gateway/service_backlog.h"

namespace jujubemast::gateway::stages {

/// Pieces that are to be ordered.
struct new_pieces {
    int priority = 0;
    /// Time until their target time.
    common::duration slack = common::duration::zero();
    std::size_t count = 0;
    /// Delay until they are ordered.
    common::duration start = common::duration::zero();
};

/// Returns how many pieces are served before new ones that wait for a time: those that wait already
/// and those that are ordered meanwhile.
using pieces_ahead_hook = std::function<double(const service_backlog& backlog,
                                               const new_pieces& added, common::duration wait)>;

/// Counts the pieces of more urgent priorities and, within the priority, those with an earlier
/// target time, as the queue serves them. Pieces that have missed their target time come last.
double pieces_ahead_by_target(const service_backlog& backlog, const new_pieces& added,
                              common::duration wait);

/// Counts all waiting pieces of the same and of more urgent priorities.
double pieces_ahead_by_priority(const service_backlog& backlog, const new_pieces& added,
                                common::duration wait);

/// Longest delay that is told apart from an endless one.
inline constexpr common::duration max_expected_delay = std::chrono::seconds{60};

/// Returns the limits with the largest batch that an instance can sustain: while the results of one
/// call are read, those of the next call need memory as well.
piece_limits sustained_limits(const piece_limits& limits, double result_bytes);

/// Returns how long a call with this many pieces takes.
common::duration call_time(const piece_limits& limits, std::size_t pieces);

/// Returns the expected time until new pieces are complete: up to half a call until an instance is
/// free, full calls for the pieces ahead, and their own call, at most `max_expected_delay`. Pieces
/// that are ordered after a delay find fewer pieces ahead, because the queue drains meanwhile.
common::duration expected_delay(const piece_limits& limits, const service_backlog& backlog,
                                const new_pieces& added,
                                const pieces_ahead_hook& pieces_ahead = pieces_ahead_by_target);

} // namespace jujubemast::gateway::stages
