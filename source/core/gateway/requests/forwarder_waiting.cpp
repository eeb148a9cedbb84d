#include <utility>

#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"

// Lets requests wait until an instance can take them.

namespace jujubemast::gateway::requests {

void forwarder::wait_for_instance(exchange& ex, const instances::instance_choice& choice) {
    if (choice.outcome == instances::choice_outcome::none) {
        refuse(ex, status_unavailable, "no upstream takes work");
        return;
    }
    if (choice.outcome == instances::choice_outcome::drained) {
        refuse(ex, status_unavailable,
               "all instances are in drained failure domains: " + ex.service, drained_retry_after);
        return;
    }
    if (choice.retry_at) {
        const bool is_cold = choice.outcome == instances::choice_outcome::cold;
        const bool needs_connection = choice.outcome == instances::choice_outcome::no_connection;
        if (!needs_connection && *choice.retry_at >= ex.first_event_deadline) {
            refuse(ex, status_unavailable,
                   is_cold ? "all upstreams are cold" : "all upstreams pause",
                   *choice.retry_at - common::monotonic_clock::now());
            return;
        }
        schedule_waiting_at(ex.service, *choice.retry_at);
    }
    if (std::exchange(ex.waiting, true)) {
        return;
    }
    auto& waiting = pool_of(ex.service).waiting();
    waiting.push(ex.id, ex.rank(), ex.times.arrived);
    m_metrics.record_wait(choice.outcome);
    m_log.info("Waits for an instance.", {{"attempt", ex.request.attempt_id},
                                          {"service", ex.service},
                                          {"cause", std::string{common::to_name(choice.outcome)}},
                                          {"waiting", std::to_string(waiting.size())}});
}

void forwarder::check_for_pause() {
    if (m_pause_guard.end_hold_if_due(common::monotonic_clock::now())) {
        schedule_all_waiting();
    }
    m_pause_guard_timer.start(instances::pause_guard::tick,
                              m_context.wrap([this] { check_for_pause(); }));
}

void forwarder::handle(const drains_confirmed& message) {
    if (m_pause_guard.record_confirmed(message.at)) {
        schedule_all_waiting();
    }
}

void forwarder::schedule_all_waiting() {
    for (const auto& [name, pool] : m_pools) {
        schedule_waiting(name);
    }
}

void forwarder::schedule_waiting(const std::string& service) {
    if (pool_of(service).waiting().size() > 0) {
        m_context.loop().post(m_context.wrap([this, service] { serve_waiting(service); }));
    }
}

void forwarder::schedule_waiting_at(const std::string& service, common::time_point time) {
    const auto now = common::monotonic_clock::now();
    auto& retry = m_retries[service];
    if (!retry.timer) {
        retry.timer = std::make_unique<runtime::timer>(m_context.loop());
    }
    if (retry.at > now && retry.at <= time) {
        return;
    }
    retry.at = time;
    retry.timer->start(std::max(common::duration::zero(), time - now),
                       m_context.wrap([this, service] { serve_waiting(service); }));
}

void forwarder::serve_waiting(const std::string& service) {
    auto& waiting = pool_of(service).waiting();
    for (auto id = waiting.front(); id;) {
        auto& ex = *find(*id);
        const bool restricted = allowed_instances(ex).is_restricted();
        const bool first = waiting.front() == id;
        const auto next = restricted ? waiting.next_after(*id) : std::nullopt;
        send(ex);
        if (restricted) {
            // Others may use instances that this request may not.
            id = next;
        } else if (first ? waiting.front() == id : waiting.contains(*id)) {
            // No instance can take it yet.
            return;
        } else {
            id = waiting.front();
        }
    }
}

} // namespace jujubemast::gateway::requests
