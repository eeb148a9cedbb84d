#include "gateway/stages/stage_estimator.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace jujubemast::gateway::stages {

namespace {

// Time from the arrival of a request at an idle engine to its first event.
constexpr common::duration engine_start_time = std::chrono::milliseconds{150};
// Results are kept for a limited time. A stage that is expected to start after this share of the
// lifetime of its inputs would probably lose them.
constexpr double usable_lifetime_share = 0.7;
// The owner of a service reports several times a second while there is work. Without a report for
// this long it is gone or cut off, and its work with it; others count it as lost by then.
constexpr common::duration max_backlog_age = std::chrono::seconds{2};

const piece_limits* find_limits(const staged_request& request, std::uint32_t stage) {
    const auto known = request.config.services.find(request.matched_route.stages[stage].service);
    return known == request.config.services.end() || !known->second.pieces ? nullptr
                                                                           : &*known->second.pieces;
}

/// Time of the stages that depend on `after`, or of all stages, if nothing waits.
common::duration shortest_path(const staged_request& request, std::optional<std::uint32_t> after) {
    return request.progress.critical_path_end(
        after, common::duration::zero(), [&](std::uint32_t stage, common::duration /*start*/) {
            const auto* limits = find_limits(request, stage);
            return limits == nullptr ? common::duration::zero()
                                     : call_time(*limits, request.progress.count_of(stage));
        });
}

} // namespace

stage_estimator::kind stage_estimator::kind_of(const staged_request& request, std::uint32_t stage) {
    return {request.matched_route.stages[stage].service, request.priority,
            request.matched_route.latency_target};
}

void stage_estimator::record_backlog(const service_backlog& reported, common::time_point now) {
    m_backlogs[reported.service] = {reported, now};
}

void stage_estimator::add_upcoming(const staged_request& request, std::uint32_t stage) {
    m_upcoming[kind_of(request, stage)] += request.progress.count_of(stage);
}

void stage_estimator::remove_upcoming(const staged_request& request, std::uint32_t stage) {
    m_upcoming[kind_of(request, stage)] -= request.progress.count_of(stage);
}

void stage_estimator::record_stage(const staged_request& request, std::uint32_t stage,
                                   common::duration estimate, common::duration actual,
                                   common::time_point now) {
    m_biases[kind_of(request, stage)].record(estimate, actual, now);
}

void stage_estimator::record_first_event(const std::string& service, common::duration actual,
                                         common::time_point now) {
    m_first_event_biases[service].record(engine_start_time, actual, now);
}

common::duration stage_estimator::expected_first_event(const std::string& service,
                                                       common::time_point now) const {
    const auto known = m_first_event_biases.find(service);
    return known == m_first_event_biases.end() ? engine_start_time
                                               : known->second.apply(engine_start_time, now);
}

std::size_t stage_estimator::count_serving_instances(const std::string& service) const {
    if (!m_upstreams) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(m_upstreams->begin(), m_upstreams->end(), [&](const auto& it) {
            return it.second.service == service && it.second.phase == upstream_phase::serving &&
                   !it.second.domain_drained;
        }));
}

std::optional<common::duration> stage_estimator::report_age(const route& matched_route,
                                                            common::time_point now) const {
    std::optional<common::duration> oldest;
    for (const auto& stage : matched_route.stages) {
        if (const auto* known = find_backlog(stage.service, now)) {
            oldest = std::max(oldest.value_or(common::duration::zero()), now - known->received);
        }
    }
    return oldest;
}

const stage_estimator::known_backlog* stage_estimator::find_backlog(const std::string& service,
                                                                    common::time_point now) const {
    const auto known = m_backlogs.find(service);
    if (known == m_backlogs.end()) {
        return nullptr;
    }
    // The last report before a service falls idle has no successor and stays valid.
    const auto& reported = known->second.reported;
    const bool has_work = reported.busy > 0 || !reported.waiting.empty();
    return has_work && now - known->second.received > max_backlog_age ? nullptr : &known->second;
}

service_backlog stage_estimator::backlog_of(const staged_request& request, std::uint32_t stage,
                                            common::duration start, common::time_point now) const {
    const auto& service = request.matched_route.stages[stage].service;
    const auto* known = find_backlog(service, now);
    // No report means that nothing waits and all instances are free.
    auto backlog = known == nullptr ? service_backlog{service, {}, count_serving_instances(service)}
                                    : known->reported;
    if (start <= common::duration::zero()) {
        return backlog;
    }
    for (auto it = m_upcoming.lower_bound({service, std::numeric_limits<int>::min(), {}});
         it != m_upcoming.end() && std::get<std::string>(it->first) == service; ++it) {
        // Assumes that the other gateways have as many upcoming pieces as this one.
        backlog.waiting.push_back({std::get<int>(it->first),
                                   slack_range(std::get<common::duration>(it->first)),
                                   it->second * m_gateway_count});
    }
    return backlog;
}

common::duration stage_estimator::shortest_stages(const staged_request& request) {
    return shortest_path(request, {});
}

common::duration stage_estimator::uncorrected_stage(const staged_request& request,
                                                    std::uint32_t stage, common::duration start,
                                                    common::time_point now) const {
    const auto* limits = find_limits(request, stage);
    if (limits == nullptr) {
        return common::duration::zero();
    }
    const auto later = engine_start_time + shortest_path(request, stage);
    return expected_delay(
        sustained_limits(*limits, request.matched_route.stages[stage].result_bytes),
        backlog_of(request, stage, start, now),
        {request.priority, request.target_time - later - now, request.progress.count_of(stage),
         start},
        m_pieces_ahead);
}

common::duration stage_estimator::expected_stage(const staged_request& request, std::uint32_t stage,
                                                 common::duration start,
                                                 common::time_point now) const {
    const auto estimate = uncorrected_stage(request, stage, start, now);
    const auto bias = m_biases.find(kind_of(request, stage));
    return bias == m_biases.end() ? estimate : bias->second.apply(estimate, now);
}

common::duration stage_estimator::expected_stages(const staged_request& request,
                                                  common::time_point now) const {
    return request.progress.critical_path_end({}, common::duration::zero(),
                                              [&](std::uint32_t stage, common::duration start) {
                                                  return expected_stage(request, stage, start, now);
                                              });
}

common::duration stage_estimator::expected_after(const staged_request& request, std::uint32_t stage,
                                                 common::time_point now) const {
    const auto made = expected_stage(request, stage, common::duration::zero(), now);
    const auto end = request.progress.critical_path_end(
        stage, made, [&](std::uint32_t later, common::duration start) {
            return expected_stage(request, later, start, now);
        });
    return end - made;
}

common::time_point stage_estimator::stage_target(const staged_request& request, std::uint32_t stage,
                                                 const std::string& service,
                                                 common::time_point now) const {
    return request.target_time - expected_first_event(service, now) -
           expected_after(request, stage, now);
}

bool stage_estimator::results_would_expire(const staged_request& request,
                                           common::time_point now) const {
    const auto& stages = request.matched_route.stages;
    for (std::uint32_t n = 0; n < stages.size(); ++n) {
        if (request.progress.count_of(n) == 0) {
            continue;
        }
        const auto wait = expected_stage(request, n, common::duration::zero(), now);
        for (const auto input : stages[n].dependencies) {
            const auto position = static_cast<std::uint32_t>(input);
            const auto* producer =
                request.progress.count_of(position) > 0 ? find_limits(request, position) : nullptr;
            if (producer != nullptr && wait > producer->result_lifetime * usable_lifetime_share) {
                return true;
            }
        }
    }
    return false;
}

} // namespace jujubemast::gateway::stages
