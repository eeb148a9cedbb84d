#include "support/pipeline_replay.h"

#include <algorithm>
#include <utility>

namespace jujubemast::tests {

namespace {

constexpr std::chrono::milliseconds step{5};
constexpr std::chrono::milliseconds report_interval{200};
// Time from the end of the last stage to the first event of the response.
constexpr std::chrono::milliseconds engine_time{150};
// Callers wait for the first event for this multiple of the target.
constexpr int patience_factor = 4;
const std::string engine_service = "engines";

/// Time between the starts of two calls, as the dispatcher spreads them.
common::duration call_spacing(const replay_service& service) {
    return gateway::stages::call_time(service.limits, service.limits.batch / 2) /
           static_cast<std::int64_t>(service.instances);
}

gateway::route make_route(const replay_kind& kind) {
    gateway::route result;
    result.name = kind.name;
    result.latency_target = kind.target;
    result.priority = kind.priority;
    for (std::size_t n = 0; n < kind.stages.size(); ++n) {
        gateway::stage_spec stage;
        stage.service = kind.stages[n].first;
        if (n > 0) {
            stage.dependencies = {n - 1};
        }
        result.stages.push_back(std::move(stage));
    }
    return result;
}

} // namespace

pipeline_replay::pipeline_replay(replay_setup setup)
    : m_setup{std::move(setup)}, m_random{common::seeded_random(m_setup.seed)} {
    for (const auto& it : m_setup.services) {
        m_configuration.services[it.name] = {it.name, std::nullopt, it.limits};
        m_services[it.name].setup = &it;
    }
    for (const auto& it : m_setup.kinds) {
        m_configuration.routes.push_back(make_route(it));
    }
    for (std::size_t n = 0; n < m_setup.gateways; ++n) {
        m_estimators.emplace_back(m_setup.pieces_ahead);
        m_estimators.back().set_gateway_count(m_setup.gateways);
    }
}

std::map<std::string, replay_counts> pipeline_replay::run() {
    while (m_now - m_begin < m_setup.length || !m_requests.empty()) {
        if (m_now >= m_next_report) {
            report();
            m_next_report = m_now + report_interval;
        }
        if (m_now - m_begin < m_setup.length) {
            arrive();
        }
        end_calls();
        start_calls();
        m_now += step;
    }
    return m_counts;
}

void pipeline_replay::arrive() {
    for (std::size_t n = 0; n < m_setup.kinds.size(); ++n) {
        const auto& kind = m_setup.kinds[n];
        double rate = kind.per_s;
        for (const auto& it : m_setup.bursts) {
            const auto time = m_now - m_begin;
            if (it.kind == kind.name && time >= it.from && time < it.until) {
                rate *= it.factor;
            }
        }
        // At most a few arrivals fall into one step, so a few trials stand for the Poisson process.
        constexpr std::uint64_t trials = 8;
        constexpr std::uint64_t resolution = 1'000'000;
        const double chance = rate * std::chrono::duration<double>(step).count() / trials;
        for (std::uint64_t k = 0; k < trials; ++k) {
            if (static_cast<double>(common::uniform_below(m_random, resolution)) <
                chance * resolution) {
                admit(kind, m_configuration.routes[n]);
            }
        }
    }
}

gateway::stages::staged_request pipeline_replay::staged(const request& it) const {
    return {m_configuration, *it.route, it.progress, it.kind->priority,
            it.arrived + it.kind->target};
}

void pipeline_replay::admit(const replay_kind& kind, const gateway::route& route) {
    auto& counts = m_counts[kind.name];
    ++counts.asked;
    std::vector<std::uint32_t> pieces;
    for (const auto& it : kind.stages) {
        pieces.push_back(it.second);
    }
    request added{&kind, &route, common::uniform_below(m_random, m_setup.gateways), m_now,
                  gateway::stages::stage_progress{route.stages, pieces}};
    auto& estimator = m_estimators[added.gateway];
    const auto decision = gateway::stages::decide_admission(
        estimator, staged(added), engine_service, kind.target * patience_factor, m_now);
    if (decision.outcome != gateway::stages::admission_outcome::admitted) {
        ++counts.refused;
        return;
    }
    for (std::uint32_t n = 0; n < kind.stages.size(); ++n) {
        estimator.add_upcoming(staged(added), n);
    }
    const auto number = m_next_number++;
    m_requests.emplace(number, std::move(added));
    order_next_stage(number);
}

void pipeline_replay::order_next_stage(std::uint64_t number) {
    auto& it = m_requests.at(number);
    const auto ready = it.progress.take_ready([](std::uint32_t) { return false; });
    if (ready.empty()) {
        auto& counts = m_counts[it.kind->name];
        const bool on_time = m_now + engine_time <= it.arrived + it.kind->target;
        ++(on_time ? counts.on_time : counts.late);
        m_requests.erase(number);
        return;
    }
    it.stage = ready.front();
    it.pieces_left = it.progress.count_of(it.stage);
    it.ordered = m_now;
    auto& estimator = m_estimators[it.gateway];
    estimator.remove_upcoming(staged(it), it.stage);
    it.estimate = estimator.uncorrected_stage(staged(it), it.stage, {}, m_now);
    gateway::piece_order order;
    order.key = {"g", number};
    order.priority = it.kind->priority;
    order.target_time = estimator.stage_target(staged(it), it.stage, engine_service, m_now);
    order.deadline = order.target_time + it.kind->target * (patience_factor - 1);
    order.count = it.progress.count_of(it.stage);
    auto& queue = m_services.at(it.route->stages[it.stage].service).queue;
    queue.record_order(order, m_now);
    for (std::uint32_t n = 0; n < it.pieces_left; ++n) {
        queue.push(order, n);
    }
}

void pipeline_replay::end_calls() {
    for (auto& [name, service] : m_services) {
        std::vector<call> ended;
        std::erase_if(service.calls, [&](const call& it) {
            if (it.end <= m_now) {
                ended.push_back(it);
            }
            return it.end <= m_now;
        });
        for (const auto& done : ended) {
            for (const auto& piece : done.pieces) {
                const auto it = m_requests.find(piece.order.number);
                if (it == m_requests.end() || --it->second.pieces_left > 0) {
                    continue;
                }
                auto& made = it->second;
                m_estimators[made.gateway].record_stage(staged(made), made.stage, made.estimate,
                                                        m_now - made.ordered, m_now);
                made.progress.complete(made.stage, {"handle"});
                order_next_stage(it->first);
            }
        }
    }
}

void pipeline_replay::start_calls() {
    for (auto& [name, service] : m_services) {
        const auto& limits = service.setup->limits;
        while (service.calls.size() < service.setup->instances && service.queue.size() > 0 &&
               (m_now >= service.next_call || service.queue.size() >= limits.batch)) {
            std::vector<gateway::order_key> expired;
            gateway::stages::call_room room{limits.batch};
            auto pieces = service.queue.take(
                room, m_now, gateway::stages::call_time(limits, 1),
                [](const gateway::order_key&) { return true; }, expired);
            for (const auto& it : expired) {
                const auto failed = m_requests.find(it.number);
                ++m_counts[failed->second.kind->name].expired;
                for (auto n = failed->second.stage + 1; n < failed->second.kind->stages.size();
                     ++n) {
                    m_estimators[failed->second.gateway].remove_upcoming(staged(failed->second), n);
                }
                service.queue.remove(it);
                m_requests.erase(failed);
            }
            std::erase_if(pieces,
                          [&](const auto& it) { return !m_requests.contains(it.order.number); });
            if (!pieces.empty()) {
                service.next_call = m_now + call_spacing(*service.setup);
                service.calls.push_back(
                    {m_now + gateway::stages::call_time(limits, pieces.size()), std::move(pieces)});
            }
        }
    }
}

void pipeline_replay::report() {
    for (auto& [name, service] : m_services) {
        const gateway::service_backlog backlog{name, service.queue.backlog(m_now),
                                               service.setup->instances, service.calls.size()};
        for (auto& it : m_estimators) {
            it.record_backlog(backlog, m_now);
        }
    }
}

} // namespace jujubemast::tests
