#include "policy/admission_control.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

// Cost of work of which nothing is known. It only orders the queue; it is no ground for a refusal.
constexpr common::duration unknown_cost = std::chrono::milliseconds{10};

// Learns the service time without load: slow calls count little, and the estimate rises slowly.
constexpr cost_model_options unloaded_options{.memory = 0.99, .weight_above = 0.05};

} // namespace

admission_control::admission_control(queue_hooks queue, limit_hooks limit, deadline_check check,
                                     const shares& initial)
    : m_queue{std::move(queue)}, m_limit{std::move(limit)}, m_check{check}, m_unloaded{
                                                                                unloaded_options} {
    set_shares(initial);
}

void admission_control::set_shares(const shares& current) {
    m_queue.set_shares(current);
    m_waits.set_floors(current.floors);
}

common::duration admission_control::wait_of(const queued_work& work, common::time_point now) const {
    return m_waits.wait(m_queue, work.priority, m_queue.ahead(work), m_limit.current(), now);
}

arrival_decision admission_control::arrive(const arriving_work& work, common::time_point now) {
    arrival_decision decision;
    const auto expected = m_expected.expect(work.operation, work.size);
    const auto hinted = work.hint > common::duration::zero() ? work.hint : unknown_cost;
    const auto cost = expected.value_or(hinted);
    const auto deadline = work.deadline - work.reserve;
    queued_work queued{work.id, work.workspace, work.priority, deadline, cost};
    decision.wait = wait_of(queued, now);
    if (expected && !m_check.reachable(now, deadline, decision.wait, cost)) {
        decision.unreachable = true;
        return decision;
    }
    // Without experience, queued work is hopeless only when no time is left at all.
    const auto latest_start =
        m_check.latest_start(deadline, expected.value_or(common::duration::zero()));
    m_latest_starts.emplace(latest_start, work.id);
    decision.refused = m_queue.push(queued);
    m_work.insert_or_assign(work.id, known_work{std::move(queued), work.operation, work.size,
                                                latest_start, std::nullopt});
    for (const auto id : decision.refused) {
        forget(id);
    }
    return decision;
}

std::vector<std::uint64_t> admission_control::take_hopeless(common::time_point now) {
    std::vector<std::uint64_t> hopeless;
    while (!m_latest_starts.empty() && m_latest_starts.begin()->first < now) {
        const auto id = m_latest_starts.begin()->second;
        // The owner may have taken the work out of the queue by itself.
        if (m_queue.remove(id)) {
            hopeless.push_back(id);
        }
        forget(id);
    }
    return hopeless;
}

next_decision admission_control::next(std::uint32_t in_progress, common::time_point now) {
    next_decision decision;
    decision.hopeless = take_hopeless(now);
    if (in_progress >= m_limit.current()) {
        return decision;
    }
    const auto work = m_queue.pop(now);
    if (!work) {
        return decision;
    }
    decision.started = work->id;
    m_waits.started(work->priority, work->cost, now);
    if (const auto it = m_work.find(work->id); it != m_work.end()) {
        not_waiting(it->second);
        it->second.started = now;
    }
    return decision;
}

void admission_control::completed(std::uint64_t id, std::uint32_t in_progress,
                                  common::time_point now) {
    const auto it = m_work.find(id);
    if (it == m_work.end() || !it->second.started) {
        return;
    }
    const auto& work = it->second;
    const auto actual = now - *work.started;
    m_queue.settle(work.queued, actual);
    m_expected.observe(work.operation, work.size, actual);
    m_unloaded.observe(work.operation, work.size, actual);
    const auto unloaded = m_unloaded.expect(work.operation, work.size);
    m_limit.completed({actual, unloaded.value_or(common::duration::zero()), in_progress, now});
    forget(id);
}

void admission_control::not_waiting(const known_work& work) {
    m_latest_starts.erase({work.latest_start, work.queued.id});
}

void admission_control::forget(std::uint64_t id) {
    const auto it = m_work.find(id);
    if (it == m_work.end()) {
        return;
    }
    if (!it->second.started) {
        not_waiting(it->second);
    }
    m_work.erase(it);
}

common::duration admission_control::expected_wait(common::priority priority,
                                                  common::time_point now) const {
    return m_waits.wait(m_queue, priority,
                        m_queue.by_priority ? m_queue.cost(priority) : m_queue.ahead({}),
                        m_limit.current(), now);
}

} // namespace jujubemast::policy
