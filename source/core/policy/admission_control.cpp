#include "policy/admission_control.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

// Cost of work of which nothing is known. It only orders the queue; it is no ground for a refusal.
constexpr common::duration unknown_cost = std::chrono::milliseconds{10};

// Learns the service time without load from the few calls of quiet phases.
constexpr cost_model_options unloaded_options{.memory = 0.95};

// When nothing of an operation has completed for this time, one piece of work is let through
// although it is expected to miss its deadline. Without it, an expectation that refuses all work
// would never be corrected.
constexpr common::duration probe_interval = std::chrono::milliseconds{500};

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
    const bool reachable = !expected || m_check.reachable(now, deadline, decision.wait, cost);
    const bool probe = !reachable && take_probe(work.operation, now);
    if (!reachable && !probe) {
        decision.unreachable = true;
        return decision;
    }
    // Without experience, queued work is hopeless only when no time is left at all.
    const auto service = probe ? common::duration::zero() : expected.value_or(common::duration{});
    const auto latest_start = m_check.latest_start(deadline, service);
    m_latest_starts.emplace(latest_start, work.id);
    decision.refused = m_queue.push(queued);
    m_work.insert_or_assign(work.id, known_work{std::move(queued), work.operation, work.size,
                                                latest_start, std::nullopt, false, probe});
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
        it->second.quiet = in_progress < m_limit.quiet();
    }
    return decision;
}

void admission_control::completed(std::uint64_t id, std::uint32_t in_progress,
                                  common::time_point now) {
    const auto it = m_work.find(id);
    if (it == m_work.end() || !it->second.started) {
        return;
    }
    learn(it->second, in_progress, now);
    forget(id);
}

void admission_control::learn(const known_work& work, std::uint32_t in_progress,
                              common::time_point now) {
    const auto actual = now - *work.started;
    m_queue.settle(work.queued, actual);
    m_last_trial[work.operation] = now;
    if (work.probe && actual < work.queued.cost) {
        m_expected.scale(work.operation, std::chrono::duration<double>(actual) /
                                             std::chrono::duration<double>(work.queued.cost));
    }
    m_expected.observe(work.operation, work.size, actual);
    if (work.quiet) {
        m_unloaded.observe(work.operation, work.size, actual);
    }
    const auto unloaded = m_unloaded.expect(work.operation, work.size);
    m_limit.completed(
        {actual, unloaded.value_or(common::duration::zero()), in_progress, work.quiet, now});
}

bool admission_control::take_probe(const std::string& operation, common::time_point now) {
    auto& last = m_last_trial[operation];
    if (now - last < probe_interval) {
        return false;
    }
    last = now;
    return true;
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
