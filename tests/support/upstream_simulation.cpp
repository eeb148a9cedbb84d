#include "support/upstream_simulation.h"

#include <cmath>
#include <utility>

namespace jujubemast::tests {

namespace {

double uniform(const common::random_hook& random) {
    return static_cast<double>(random() >> 11U) * 0x1p-53;
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>{value});
}

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

void add(simulated_outcome& sum, const simulated_outcome& part) {
    sum.offered += part.offered;
    sum.in_time += part.in_time;
    sum.late += part.late;
    sum.refused += part.refused;
    sum.useful_cost += part.useful_cost;
}

} // namespace

upstream_simulation::upstream_simulation(policy::admission_control& control,
                                         simulation_options options)
    : m_control{control}, m_options{options}, m_now{std::chrono::hours{1}}, m_end{m_now +
                                                                                  options.length} {}

void upstream_simulation::schedule(common::time_point time, std::function<void()> action) {
    m_events.push({time, m_next_id++, std::move(action)});
}

void upstream_simulation::run(const std::vector<simulated_demand>& demands) {
    auto seed = m_options.seed;
    for (const auto& it : demands) {
        schedule_arrival(it, common::seeded_random(seed++));
    }
    while (!m_events.empty()) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
    }
}

void upstream_simulation::schedule_arrival(const simulated_demand& demand,
                                           const common::random_hook& random) {
    const auto time = m_now + from_seconds(-std::log(1.0 - uniform(random)) / demand.per_second);
    if (time < m_end) {
        schedule(time, [this, &demand, random] {
            arrive(demand, random);
            schedule_arrival(demand, random);
        });
    }
}

void upstream_simulation::arrive(const simulated_demand& demand,
                                 const common::random_hook& random) {
    const auto id = m_next_id++;
    const double size = 0.5 + uniform(random);
    const double error = 1.0 + m_options.noise * (2.0 * uniform(random) - 1.0);
    auto& added = m_requests[id];
    added = {&demand, m_now + demand.deadline,
             from_seconds(seconds(m_options.mean_service) * size * error),
             m_now >= m_end - m_options.length + m_options.warm_up};
    if (auto* outcome = outcome_counter(added)) {
        ++outcome->offered;
    }
    policy::admission_request work;
    work.id = id;
    work.workspace = demand.workspace;
    work.priority = demand.priority;
    work.deadline = added.deadline;
    work.operation = "simulated";
    work.size.input_bytes = static_cast<std::uint64_t>(size * 4096.0);
    const auto decision = m_control.admit(work, m_now);
    if (decision.deadline_unreachable) {
        refuse(id);
        return;
    }
    for (const auto it : decision.refused) {
        refuse(it);
    }
    start_work();
}

void upstream_simulation::start_work() {
    while (true) {
        const auto decision = m_control.start_next(m_in_progress, m_now);
        for (const auto it : decision.infeasible) {
            refuse(it);
        }
        if (!decision.started) {
            break;
        }
        ++m_in_progress;
        m_waiting.push(*decision.started);
    }
    serve_waiting();
}

void upstream_simulation::serve_waiting() {
    while (!m_waiting.empty() && m_busy < m_options.slots) {
        const auto id = m_waiting.front();
        m_waiting.pop();
        ++m_busy;
        schedule(m_now + service_time_of(m_requests.at(id)), [this, id] { complete(id); });
    }
}

common::duration upstream_simulation::service_time_of(const request& served) const {
    const auto elapsed = m_now - (m_end - m_options.length);
    const bool slow = elapsed >= m_options.slow_begin && elapsed < m_options.slow_end;
    return from_seconds(seconds(served.service) * (slow ? m_options.slow_factor : 1.0));
}

void upstream_simulation::complete(std::uint64_t id) {
    m_control.completed(id, m_in_progress, m_now);
    --m_busy;
    --m_in_progress;
    const auto& done = m_requests.at(id);
    if (auto* outcome = outcome_counter(done)) {
        if (m_now <= done.deadline) {
            ++outcome->in_time;
        } else {
            ++outcome->late;
        }
    }
    const bool in_window = m_now >= m_end - m_options.length + m_options.warm_up && m_now < m_end;
    if (in_window && m_now <= done.deadline) {
        m_outcomes.at(static_cast<std::size_t>(done.demand->priority))[done.demand->workspace]
            .useful_cost += seconds(done.service);
    }
    m_requests.erase(id);
    start_work();
}

void upstream_simulation::refuse(std::uint64_t id) {
    if (auto* outcome = outcome_counter(m_requests.at(id))) {
        ++outcome->refused;
    }
    m_requests.erase(id);
}

simulated_outcome* upstream_simulation::outcome_counter(const request& of) {
    const auto n = static_cast<std::size_t>(of.demand->priority);
    return of.counted ? &m_outcomes.at(n)[of.demand->workspace] : nullptr;
}

simulated_outcome upstream_simulation::outcome(common::priority priority) const {
    simulated_outcome sum;
    for (const auto& [name, it] : m_outcomes.at(static_cast<std::size_t>(priority))) {
        add(sum, it);
    }
    return sum;
}

simulated_outcome upstream_simulation::outcome(common::priority priority,
                                               const std::string& workspace) const {
    const auto& all = m_outcomes.at(static_cast<std::size_t>(priority));
    const auto it = all.find(workspace);
    return it == all.end() ? simulated_outcome{} : it->second;
}

double upstream_simulation::useful_share(common::priority priority) const {
    return outcome(priority).useful_cost /
           (seconds(m_options.length - m_options.warm_up) * m_options.slots);
}

double upstream_simulation::useful_share() const {
    return useful_share(common::priority::urgent) + useful_share(common::priority::standard) +
           useful_share(common::priority::background);
}

} // namespace jujubemast::tests
