#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/work_queue.h"
#include "policy/workspace_queue.h"

namespace jujubemast::policy {

struct fair_queue_limits {
    std::size_t max_count = 1000;
    /// Limit on the total expected service time of all waiting work.
    common::duration max_cost = std::chrono::minutes{10};
    /// A priority that does not use its floor accumulates credit for at most this much served cost.
    common::duration floor_burst = std::chrono::seconds{1};
};

/// Serves more urgent priorities first, but guarantees each priority its floor. Every served cost
/// adds the floor's share of it to the credit of each priority, and a priority with credit is
/// served before those without (a token bucket for each priority, refilled by service instead of
/// time). When the queue is full, it refuses work of the least urgent priority that occupies more
/// than its floor's share of the queue: the latest deadline of the workspace with the largest
/// backlog relative to its weight.
class fair_queue {
public:
    fair_queue(fair_queue_limits limits, const capacity_shares& initial);

    std::vector<std::uint64_t> push(const queued_work& work);
    std::optional<queued_work> pop();
    bool remove(std::uint64_t id);
    void correct_charge(const queued_work& work, common::duration actual);
    void set_shares(const capacity_shares& current);

    [[nodiscard]] std::size_t size(common::priority priority) const;
    [[nodiscard]] common::duration cost(common::priority priority) const;
    [[nodiscard]] common::duration cost_ahead(const queued_work& work) const;

private:
    static constexpr std::size_t class_count = common::enumerator_count<common::priority>();

    struct priority_class {
        workspace_queue queue;
        double floor = 0.0;
        /// Guaranteed service time that this priority has not used yet, in seconds.
        double credit = 0.0;
    };

    [[nodiscard]] priority_class& class_of(common::priority priority);
    [[nodiscard]] const priority_class& class_of(common::priority priority) const;
    [[nodiscard]] bool over_limit() const;
    [[nodiscard]] bool above_floor(const priority_class& candidate) const;
    std::uint64_t refuse_one();
    priority_class& next_class();
    void update_credits(priority_class& served, double cost);
    [[nodiscard]] common::duration total_cost() const;

    fair_queue_limits m_limits;
    // Declared before the classes because their destructors unlink these nodes.
    std::unordered_map<std::uint64_t, queue_node> m_work;
    std::array<priority_class, class_count> m_classes;
    std::uint64_t m_next_sequence = 0;
};

/// Returns hooks that share ownership of a new `fair_queue`.
queue_hooks make_fair_queue(const fair_queue_limits& limits, const capacity_shares& initial);

} // namespace jujubemast::policy
