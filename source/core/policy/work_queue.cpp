#include "policy/work_queue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace jujubemast::policy {

namespace {

class fifo_queue {
public:
    explicit fifo_queue(std::size_t capacity) : m_capacity{capacity} {}

    std::vector<std::uint64_t> push(const queued_work& work) {
        if (m_work.size() >= m_capacity) {
            return {work.id};
        }
        m_work.push_back(work);
        update_totals(work, 1);
        return {};
    }

    std::optional<queued_work> pop() {
        if (m_work.empty()) {
            return std::nullopt;
        }
        auto work = std::move(m_work.front());
        m_work.pop_front();
        update_totals(work, -1);
        return work;
    }

    bool remove(std::uint64_t id) {
        const auto it = std::find_if(m_work.begin(), m_work.end(),
                                     [id](const queued_work& work) { return work.id == id; });
        if (it == m_work.end()) {
            return false;
        }
        update_totals(*it, -1);
        m_work.erase(it);
        return true;
    }

    [[nodiscard]] std::size_t size(common::priority priority) const {
        return m_sizes.at(static_cast<std::size_t>(priority));
    }

    [[nodiscard]] common::duration cost(common::priority priority) const {
        return m_costs.at(static_cast<std::size_t>(priority));
    }

    [[nodiscard]] common::duration total_cost() const {
        return m_costs[0] + m_costs[1] + m_costs[2];
    }

private:
    void update_totals(const queued_work& work, int sign) {
        const auto n = static_cast<std::size_t>(work.priority);
        m_sizes.at(n) += static_cast<std::size_t>(sign);
        m_costs.at(n) += sign * work.cost;
    }

    std::size_t m_capacity;
    std::deque<queued_work> m_work;
    std::array<std::size_t, 3> m_sizes{};
    std::array<common::duration, 3> m_costs{};
};

} // namespace

queue_hooks make_fifo_queue(std::size_t capacity) {
    const auto queue = std::make_shared<fifo_queue>(capacity);
    queue_hooks hooks;
    hooks.push = [queue](const queued_work& work) { return queue->push(work); };
    hooks.pop = [queue](common::time_point /*now*/) { return queue->pop(); };
    hooks.remove = [queue](std::uint64_t id) { return queue->remove(id); };
    hooks.size = [queue](common::priority priority) { return queue->size(priority); };
    hooks.cost = [queue](common::priority priority) { return queue->cost(priority); };
    hooks.cost_ahead = [queue](const queued_work& /*work*/) { return queue->total_cost(); };
    hooks.correct_charge = [](const queued_work& /*work*/, common::duration /*actual*/) {};
    hooks.set_shares = [](const capacity_shares& /*current*/) {};
    hooks.by_priority = false;
    return hooks;
}

} // namespace jujubemast::policy
