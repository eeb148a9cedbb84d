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
    /// Bound on the expected service time of all waiting work.
    common::duration max_cost = std::chrono::minutes{10};
    /// Served cost over which a priority may make up for a floor that it has not used.
    common::duration floor_burst = std::chrono::seconds{1};
};

/// Serves the more urgent priority first, except that each priority is served up to its floor. A
/// priority earns its floor's part of every cost that is served, and goes first while it has
/// earnings left (a token bucket for each priority, filled by service instead of time). When full,
/// refuses the latest deadline of the workspace with the largest backlog relative to its weight, in
/// the lowest priority that holds more than its floor's part of the room.
class fair_queue {
public:
    fair_queue(fair_queue_limits limits, const shares& initial);

    std::vector<std::uint64_t> push(const queued_work& work);
    std::optional<queued_work> pop();
    bool remove(std::uint64_t id);
    void correct_charge(const queued_work& work, common::duration actual);
    void set_shares(const shares& current);

    [[nodiscard]] std::size_t size(common::priority priority) const;
    [[nodiscard]] common::duration cost(common::priority priority) const;
    [[nodiscard]] common::duration cost_ahead(const queued_work& work) const;

private:
    static constexpr std::size_t class_count = common::enumerator_count<common::priority>();

    struct priority_class {
        workspace_queue queue;
        double floor = 0.0;
        /// Service time that the floor still owes to this priority, in seconds.
        double credit = 0.0;
    };

    [[nodiscard]] priority_class& class_of(common::priority priority);
    [[nodiscard]] const priority_class& class_of(common::priority priority) const;
    [[nodiscard]] bool over_limit() const;
    [[nodiscard]] bool above_floor(const priority_class& candidate) const;
    std::uint64_t refuse_one();
    priority_class& next_class();
    void charge_credit(priority_class& served, double cost);
    [[nodiscard]] common::duration total_cost() const;

    fair_queue_limits m_limits;
    // Declared before the classes, which unlink the work when they are destroyed.
    std::unordered_map<std::uint64_t, queue_node> m_work;
    std::array<priority_class, class_count> m_classes;
    std::uint64_t m_next_sequence = 0;
};

/// Offers a `fair_queue` as hooks.
queue_hooks make_fair_queue(const fair_queue_limits& limits, const shares& initial);

} // namespace jujubemast::policy
