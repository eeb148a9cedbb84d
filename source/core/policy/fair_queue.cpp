#include "policy/fair_queue.h"

#include <algorithm>
#include <memory>
#include <numeric>

namespace jujubemast::policy {

namespace {

// Minimum cost charged for any work, so that work without a known cost also counts as served.
constexpr common::duration min_cost = std::chrono::microseconds{1};

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

fair_queue::fair_queue(fair_queue_limits limits, const capacity_shares& initial)
    : m_limits{limits} {
    m_work.reserve(limits.max_count + 1);
    set_shares(initial);
}

fair_queue::priority_class& fair_queue::class_of(common::priority priority) {
    return m_classes.at(static_cast<std::size_t>(priority));
}

const fair_queue::priority_class& fair_queue::class_of(common::priority priority) const {
    return m_classes.at(static_cast<std::size_t>(priority));
}

std::vector<std::uint64_t> fair_queue::push(const queued_work& work) {
    auto& node = m_work[work.id];
    node.work = work;
    node.work.cost = std::max(work.cost, min_cost);
    node.sequence = m_next_sequence++;
    class_of(work.priority).queue.add(node);
    std::vector<std::uint64_t> refused;
    while (over_limit()) {
        refused.push_back(refuse_one());
    }
    return refused;
}

bool fair_queue::over_limit() const {
    // Work that would be alone in the queue is accepted whatever its cost.
    return m_work.size() > m_limits.max_count ||
           (m_work.size() > 1 && total_cost() > m_limits.max_cost);
}

common::duration fair_queue::total_cost() const {
    auto sum = common::duration::zero();
    for (const auto& it : m_classes) {
        sum += it.queue.cost();
    }
    return sum;
}

bool fair_queue::above_floor(const priority_class& candidate) const {
    if (m_work.size() > m_limits.max_count) {
        return static_cast<double>(candidate.queue.size()) >
               candidate.floor * static_cast<double>(m_limits.max_count);
    }
    return seconds(candidate.queue.cost()) > candidate.floor * seconds(m_limits.max_cost);
}

std::uint64_t fair_queue::refuse_one() {
    auto victim = std::find_if(m_classes.rbegin(), m_classes.rend(), [this](const auto& it) {
        return it.queue.size() > 0 && above_floor(it);
    });
    if (victim == m_classes.rend()) {
        victim = std::find_if(m_classes.rbegin(), m_classes.rend(),
                              [](const auto& it) { return it.queue.size() > 0; });
    }
    auto& node = victim->queue.eviction_candidate();
    const auto id = node.work.id;
    victim->queue.erase(node);
    m_work.erase(id);
    return id;
}

fair_queue::priority_class& fair_queue::next_class() {
    const auto with_credit = std::find_if(m_classes.begin(), m_classes.end(), [](const auto& it) {
        return it.queue.size() > 0 && it.credit > 0.0;
    });
    if (with_credit != m_classes.end()) {
        return *with_credit;
    }
    return *std::find_if(m_classes.begin(), m_classes.end(),
                         [](const auto& it) { return it.queue.size() > 0; });
}

void fair_queue::update_credits(priority_class& served, double cost) {
    // Service without credit is not charged, so that it does not reduce the later share of the
    // priority.
    if (served.credit > 0.0) {
        served.credit -= cost;
    }
    for (auto& it : m_classes) {
        it.credit = std::min(it.floor * seconds(m_limits.floor_burst), it.credit + it.floor * cost);
    }
}

std::optional<queued_work> fair_queue::pop() {
    if (m_work.empty()) {
        return std::nullopt;
    }
    auto& served = next_class();
    auto& node = served.queue.front();
    served.queue.take(node);
    update_credits(served, seconds(node.work.cost));
    auto work = std::move(node.work);
    m_work.erase(work.id);
    return work;
}

bool fair_queue::remove(std::uint64_t id) {
    const auto it = m_work.find(id);
    if (it == m_work.end()) {
        return false;
    }
    class_of(it->second.work.priority).queue.erase(it->second);
    m_work.erase(it);
    return true;
}

void fair_queue::correct_charge(const queued_work& work, common::duration actual) {
    class_of(work.priority).queue.charge(work.workspace, actual - std::max(work.cost, min_cost));
}

void fair_queue::set_shares(const capacity_shares& current) {
    const double sum = std::accumulate(current.floors.begin(), current.floors.end(), 0.0);
    for (std::size_t n = 0; n < class_count; ++n) {
        m_classes[n].floor = current.floors[n] / std::max(1.0, sum);
        m_classes[n].queue.set_weights(current.weights);
    }
}

std::size_t fair_queue::size(common::priority priority) const {
    return class_of(priority).queue.size();
}

common::duration fair_queue::cost(common::priority priority) const {
    return class_of(priority).queue.cost();
}

common::duration fair_queue::cost_ahead(const queued_work& work) const {
    return class_of(work.priority).queue.cost_ahead(work);
}

queue_hooks make_fair_queue(const fair_queue_limits& limits, const capacity_shares& initial) {
    const auto queue = std::make_shared<fair_queue>(limits, initial);
    queue_hooks hooks;
    hooks.push = [queue](const queued_work& work) { return queue->push(work); };
    hooks.pop = [queue](common::time_point /*now*/) { return queue->pop(); };
    hooks.remove = [queue](std::uint64_t id) { return queue->remove(id); };
    hooks.size = [queue](common::priority priority) { return queue->size(priority); };
    hooks.cost = [queue](common::priority priority) { return queue->cost(priority); };
    hooks.cost_ahead = [queue](const queued_work& work) { return queue->cost_ahead(work); };
    hooks.correct_charge = [queue](const queued_work& work, common::duration actual) {
        queue->correct_charge(work, actual);
    };
    hooks.set_shares = [queue](const capacity_shares& current) { queue->set_shares(current); };
    return hooks;
}

} // namespace jujubemast::policy
