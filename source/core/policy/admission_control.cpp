#include "policy/admission_control.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

// Assumed cost, in the queue, of work whose operation has no estimate yet. The deadline check on
// arrival does not use it, so that such work is never refused as too late because of a guess.
constexpr common::duration default_cost = std::chrono::milliseconds{10};

// The service time without load is learned from only the few calls at low load, so older
// observations lose their weight sooner than in the other model.
constexpr cost_model_options unloaded_model_options{.decay = 0.95};

// When no work of an operation has completed for this time, one request is admitted as a probe
// although it is expected to miss its deadline. Without probes, an estimate so high that all work
// is refused would never be corrected.
constexpr common::duration probe_interval = std::chrono::milliseconds{500};

} // namespace

admission_control::admission_control(queue_hooks queue, limit_hooks limit, deadline_check check,
                                     const capacity_shares& initial)
    : m_queue{std::move(queue)}, m_limit{std::move(limit)}, m_check{check},
      m_unloaded_model{unloaded_model_options} {
    set_shares(initial);
}

void admission_control::set_shares(const capacity_shares& current) {
    m_queue.set_shares(current);
    m_wait_estimator.set_floors(current.floors);
}

common::duration admission_control::wait_of(const queued_work& work, common::time_point now) const {
    return m_wait_estimator.wait(m_queue, work.priority, m_queue.cost_ahead(work),
                                 m_limit.current(), now);
}

admission_decision admission_control::admit(const admission_request& work, common::time_point now) {
    admission_decision decision;
    const auto expected = m_service_model.estimate(work.operation, work.size);
    const auto fallback_cost =
        work.service_time_hint > common::duration::zero() ? work.service_time_hint : default_cost;
    const auto cost = expected.value_or(fallback_cost);
    const auto deadline = work.deadline - work.reserve;
    queued_work queued{work.id, work.workspace, work.priority, deadline, cost};
    decision.wait = wait_of(queued, now);
    const bool reachable = !expected || m_check.reachable(now, deadline, decision.wait, cost);
    const bool probe = !reachable && try_start_probe(work.operation, now);
    if (!reachable && !probe) {
        decision.deadline_unreachable = true;
        return decision;
    }
    // A probe, and work without an estimate, becomes infeasible only when its deadline passes.
    const auto service = probe ? common::duration::zero() : expected.value_or(common::duration{});
    const auto latest_start = m_check.latest_start(deadline, service);
    m_latest_starts.emplace(latest_start, work.id);
    decision.refused = m_queue.push(queued);
    m_work.insert_or_assign(work.id, tracked_work{std::move(queued), work.operation, work.size,
                                                  latest_start, std::nullopt, false, probe});
    for (const auto id : decision.refused) {
        forget(id);
    }
    return decision;
}

std::vector<std::uint64_t> admission_control::drop_infeasible(common::time_point now) {
    std::vector<std::uint64_t> infeasible;
    while (!m_latest_starts.empty() && m_latest_starts.begin()->first < now) {
        const auto id = m_latest_starts.begin()->second;
        // The owner may already have removed the work from the queue.
        if (m_queue.remove(id)) {
            infeasible.push_back(id);
        }
        forget(id);
    }
    return infeasible;
}

start_decision admission_control::start_next(std::uint32_t in_progress, common::time_point now) {
    start_decision decision;
    decision.infeasible = drop_infeasible(now);
    if (in_progress >= m_limit.current()) {
        return decision;
    }
    const auto work = m_queue.pop(now);
    if (!work) {
        return decision;
    }
    decision.started = work->id;
    m_wait_estimator.record_start(work->priority, work->cost, now);
    if (const auto it = m_work.find(work->id); it != m_work.end()) {
        erase_latest_start(it->second);
        it->second.started = now;
        it->second.low_load = in_progress < m_limit.low_load_limit();
    }
    return decision;
}

void admission_control::completed(std::uint64_t id, std::uint32_t in_progress,
                                  common::time_point now) {
    const auto it = m_work.find(id);
    if (it == m_work.end() || !it->second.started) {
        return;
    }
    update_models(it->second, in_progress, now);
    forget(id);
}

void admission_control::update_models(const tracked_work& work, std::uint32_t in_progress,
                                      common::time_point now) {
    const auto actual = now - *work.started;
    m_queue.correct_charge(work.queued, actual);
    m_last_run[work.operation] = now;
    if (work.probe && actual < work.queued.cost) {
        m_service_model.scale(work.operation, std::chrono::duration<double>(actual) /
                                                  std::chrono::duration<double>(work.queued.cost));
    }
    m_service_model.observe(work.operation, work.size, actual);
    if (work.low_load) {
        m_unloaded_model.observe(work.operation, work.size, actual);
    }
    const auto unloaded = m_unloaded_model.estimate(work.operation, work.size);
    m_limit.completed(
        {actual, unloaded.value_or(common::duration::zero()), in_progress, work.low_load, now});
}

bool admission_control::try_start_probe(const std::string& operation, common::time_point now) {
    auto& last_run = m_last_run[operation];
    if (now - last_run < probe_interval) {
        return false;
    }
    last_run = now;
    return true;
}

void admission_control::erase_latest_start(const tracked_work& work) {
    m_latest_starts.erase({work.latest_start, work.queued.id});
}

void admission_control::forget(std::uint64_t id) {
    const auto it = m_work.find(id);
    if (it == m_work.end()) {
        return;
    }
    if (!it->second.started) {
        erase_latest_start(it->second);
    }
    m_work.erase(it);
}

common::duration admission_control::expected_wait(common::priority priority,
                                                  common::time_point now) const {
    return m_wait_estimator.wait(
        m_queue, priority, m_queue.by_priority ? m_queue.cost(priority) : m_queue.cost_ahead({}),
        m_limit.current(), now);
}

} // namespace jujubemast::policy
