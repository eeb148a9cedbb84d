#include <algorithm>
#include <utility>

#include "gateway/requests/forwarder.h"
#include "gateway/stages/piece_counts.h"
#include "gateway/statuses.h"

// Looks requests up in the configuration, and admits or refuses them.

namespace jujubemast::gateway::requests {

namespace {

// Deadline of requests whose callers send none.
constexpr common::duration default_deadline = std::chrono::seconds{30};
// The response is sent this long before the caller's deadline.
constexpr common::duration response_margin = std::chrono::milliseconds{25};
// Retry delay of requests that need a malformed part of the configuration. It lasts until the
// operator writes another version.
constexpr common::duration undecoded_part_retry_after = std::chrono::seconds{5};

} // namespace

void forwarder::refuse_unknown(exchange& ex, lookup_result result) {
    const std::string reason{common::to_name(result)};
    if (may_be_in_undecoded_part(result)) {
        refuse(ex, status_unavailable, "not in the decoded parts of the configuration: " + reason,
               undecoded_part_retry_after);
        return;
    }
    if (!has_current_configuration()) {
        refuse(ex, status_unavailable, "not in a configuration that may be out of date: " + reason);
        return;
    }
    refuse(ex, result == lookup_result::no_route ? status_not_found : status_unauthorized,
           "not in the configuration: " + reason);
}

bool forwarder::may_be_in_undecoded_part(lookup_result result) const {
    return result == lookup_result::unusable_route || result == lookup_result::unusable_workspace ||
           (result == lookup_result::no_route && !m_configuration->routes_complete) ||
           (result == lookup_result::unknown_key && !m_configuration->keys_complete);
}

lookup_result forwarder::look_up(exchange& ex) const {
    ex.matched_route = find_route(*m_configuration, ex.request.host, ex.request.path);
    if (ex.matched_route == nullptr) {
        return lookup_result::no_route;
    }
    if (!ex.matched_route->usable) {
        return lookup_result::unusable_route;
    }
    ex.priority = ex.matched_route->priority;
    const auto* owner = find_workspace(*m_configuration, ex.request.api_key);
    if (owner == nullptr && m_configuration->keys_required && !ex.matched_route->is_public) {
        return lookup_result::unknown_key;
    }
    ex.regions = ex.matched_route->regions;
    if (owner != nullptr && !owner->usable) {
        return lookup_result::unusable_workspace;
    }
    if (owner != nullptr) {
        ex.regions = ex.regions.restricted_by(owner->regions);
        ex.workspace = owner->name;
        ex.priority = owner->priority.value_or(ex.priority);
    }
    ex.service = choose_service(*ex.matched_route, service_share(ex));
    return lookup_result::found;
}

void forwarder::admit(exchange& ex) {
    const auto deadline = ex.times.arrived + ex.request.deadline.value_or(default_deadline);
    ex.response_deadline =
        std::min(deadline - response_margin, ex.times.arrived + ex.matched_route->timeout);
    ex.first_event_deadline = ex.response_deadline;
    if (ex.matched_route->kind == repeatability::stream) {
        wait_for_event_since(ex, ex.times.arrived);
    }
    if (refuse_unusable_piece_counts(ex)) {
        return;
    }
    ex.events = ex.request.last_event ? event_relay{*ex.request.last_event} : event_relay{};
    ex.stages.progress = stages::stage_progress{ex.matched_route->stages, ex.request.piece_counts};
    limit_to_stop(ex);
    if (!admit_in_stop(ex) || refuse_if_none_allowed(ex)) {
        return;
    }
    ex.deadline_timer = std::make_unique<runtime::timer>(m_context.loop());
    start_deadline_timer(ex);
    pool_of(ex.service).budget().record_first_attempt();
    if (refuse_if_quarantined(ex)) {
        return;
    }
    if (!ex.matched_route->stages.empty() && !admit_stages(ex)) {
        return;
    }
    record_upcoming(ex);
    advance_stages(ex);
}

void forwarder::wait_for_event_since(exchange& ex, common::time_point since) {
    ex.first_event_deadline =
        std::min(ex.response_deadline, since + event_patience(*ex.matched_route) - response_margin);
}

bool forwarder::refuse_unusable_piece_counts(exchange& ex) {
    const auto fault =
        stages::check_piece_counts(ex.matched_route->stages, ex.request.piece_counts);
    if (fault == stages::piece_count_fault::none) {
        return false;
    }
    // A newer configuration may have other stages.
    refuse(ex, has_current_configuration() ? status_bad_request : status_unavailable,
           "unusable numbers of pieces: " + std::string{common::to_name(fault)});
    return true;
}

std::string forwarder::find_obstacle(const exchange& ex, const std::string& service) const {
    if (m_drained_services.contains(service)) {
        return "all instances are in drained failure domains: " + service;
    }
    if (ex.regions.is_restricted() && m_upstreams &&
        !instances::has_instance_in(*m_upstreams, service, ex.regions)) {
        return "no instance in an allowed region: " + service;
    }
    return {};
}

bool forwarder::refuse_if_none_allowed(exchange& ex) {
    auto obstacle = find_obstacle(ex, ex.service);
    const auto& stages = ex.matched_route->stages;
    for (std::uint32_t n = 0; n < stages.size() && obstacle.empty(); ++n) {
        if (ex.stages.progress.count_of(n) > 0) {
            obstacle = find_obstacle(ex, stages[n].service);
        }
    }
    if (obstacle.empty()) {
        return false;
    }
    refuse(ex, status_unavailable, obstacle, drained_retry_after);
    return true;
}

bool forwarder::admit_stages(exchange& ex) {
    const auto decision = decide_admission(m_estimator, staged(ex), ex.service,
                                           ex.first_event_deadline - ex.times.arrived,
                                           common::monotonic_clock::now());
    ex.stages.expected = decision.expected;
    ex.stages.allowed = decision.allowed;
    if (decision.outcome == stages::admission_outcome::admitted) {
        return true;
    }
    refuse(ex, status_unavailable, std::string{common::to_name(decision.outcome)},
           decision.retry_after);
    return false;
}

} // namespace jujubemast::gateway::requests
