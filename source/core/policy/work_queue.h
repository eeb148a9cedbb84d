#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "common/types.h"
#include "policy/shares.h"

namespace jujubemast::policy {

/// The order in which waiting work is served.
enum class queue_order { fifo, fair };

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
    /// Expected service time of all waiting work of a priority.
    std::function<common::duration(common::priority)> cost;
    /// Expected service time of the waiting work that would be served before this work, were it
    /// added now. Counts work of the same priority only, unless the order ignores priorities.
    std::function<common::duration(const queued_work&)> cost_ahead;
    /// Corrects what was charged for work that was taken, once its true service time is known.
    std::function<void(const queued_work&, common::duration actual)> correct_charge;
    /// Changes floors and weights; queued work stays.
    std::function<void(const shares&)> set_shares;
    /// Whether the order honours priorities.
    bool by_priority = true;
};

/// Baseline: first in, first out; refuses new work when full. Ignores floors and weights.
queue_hooks make_fifo_queue(std::size_t capacity);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::queue_order> {
    static constexpr std::array<std::string_view, 2> table{"fifo", "fair"};
};

} // namespace jujubemast::common
