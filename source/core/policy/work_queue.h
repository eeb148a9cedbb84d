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
#include "policy/capacity_shares.h"

namespace jujubemast::policy {

/// The order in which queued work is served.
enum class queue_order { fifo, fair };

/// A request that waits for an upstream.
struct queued_work {
    /// Identifier given by the owner; unique within a queue.
    std::uint64_t id = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::time_point deadline;
    /// Expected service time on the upstream.
    common::duration cost = common::duration::zero();
};

/// A queue of the work that waits for an upstream, as replaceable functions.
struct queue_hooks {
    /// Adds work. Returns the ids of the work refused because the queue is full, which may include
    /// the new work.
    std::function<std::vector<std::uint64_t>(const queued_work&)> push;
    /// Removes and returns the work to serve next.
    std::function<std::optional<queued_work>(common::time_point now)> pop;
    /// Removes work, for example after a cancellation. Returns false when it is not queued.
    std::function<bool(std::uint64_t id)> remove;
    /// Returns the number of waiting requests of a priority.
    std::function<std::size_t(common::priority)> size;
    /// Returns the expected service time of all waiting work of a priority.
    std::function<common::duration(common::priority)> cost;
    /// Returns the expected service time of the waiting work that would be served before this work
    /// if it were added now. Counts only work of the same priority, unless the order ignores
    /// priorities.
    std::function<common::duration(const queued_work&)> cost_ahead;
    /// Corrects the cost charged for work taken earlier, once its actual service time is known.
    std::function<void(const queued_work&, common::duration actual)> correct_charge;
    /// Changes floors and weights without removing queued work.
    std::function<void(const capacity_shares&)> set_shares;
    /// Whether the order depends on priorities.
    bool by_priority = true;
};

/// A first-in, first-out queue, the baseline that the fair queue is compared with. Refuses new work
/// when full and ignores floors and weights.
queue_hooks make_fifo_queue(std::size_t capacity);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::queue_order> {
    static constexpr std::array<std::string_view, 2> table{"fifo", "fair"};
};

} // namespace jujubemast::common
