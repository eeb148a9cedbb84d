#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "common/types.h"

namespace jujubemast::policy {

/// A piece of work that waits for an upstream.
struct queued_work {
    /// Handle of the owner; unique within a queue.
    std::uint64_t id = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::time_point deadline;
    /// Expected service time on the upstream.
    common::duration cost = common::duration::zero();
};

/// The order in which an upstream's waiting work is served, as replaceable functions.
struct queue_hooks {
    /// Adds work. Returns the ids of the work refused for lack of room, which may include the new
    /// one.
    std::function<std::vector<std::uint64_t>(const queued_work&)> push;
    /// Takes the work to serve next.
    std::function<std::optional<queued_work>(common::time_point now)> pop;
    /// Removes work, for example after a cancellation. Returns false when it is not queued.
    std::function<bool(std::uint64_t id)> remove;
    /// Number of waiting pieces of work of a priority.
    std::function<std::size_t(common::priority)> size;
};

/// Baseline: first in, first out; refuses new work when full.
queue_hooks make_fifo_queue(std::size_t capacity);

} // namespace jujubemast::policy
