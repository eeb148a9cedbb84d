#include <algorithm>
#include <utility>

#include "gateway/stages/dispatcher.h"
#include "gateway/stages/expected_delay.h"

// Tracks the instances of the services and selects the instance for the next call.

namespace jujubemast::gateway::stages {

namespace {

http::client_limits call_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{500};
    limits.max_idle_connections = 3;
    return limits;
}

} // namespace

void dispatcher::update_instances(const std::string& name, service_state& service) {
    if (!m_upstreams) {
        return;
    }
    const auto now = common::monotonic_clock::now();
    std::erase_if(service.instances, [&](const auto& it) {
        auto& instance = *it.second;
        const auto known = m_upstreams->find(it.first);
        const bool listed = known != m_upstreams->end();
        instance.state.set_registered(
            listed && is_same_incarnation(known->second, instance.identity), now);
        // An instance that pauses is kept, because its entry may come back before the pause ends.
        // Calls in progress keep the others and their clients alive until they end.
        const bool removed = instance.state.phase() == instances::instance_phase::gone &&
                             (listed || instance.state.paused_until() <= now);
        if (removed) {
            service.health.remove_member(it.first);
        }
        return removed;
    });
    for (const auto& [id, it] : *m_upstreams) {
        if (it.service != name) {
            continue;
        }
        auto& instance = service.instances[id];
        if (!instance) {
            instance = std::make_shared<stage_instance>(
                stage_instance{it, instances::instance_state{now}});
            instance->client = std::make_unique<http::client>(m_context, it.address, call_limits());
            service.health.add_member(id);
        }
        if (it.phase == upstream_phase::draining) {
            instance->state.announce_drain();
        }
    }
}

void dispatcher::update_states(service_state& service) {
    const auto now = common::monotonic_clock::now();
    for (auto& [id, it] : service.instances) {
        it->state.update(now, service.health.state(id, now) == policy::rotation_state::ejected);
    }
}

std::optional<common::time_point> dispatcher::first_pause_end(const service_state& service) {
    std::optional<common::time_point> first;
    for (const auto& [id, it] : service.instances) {
        if (it->state.phase() == instances::instance_phase::pausing) {
            first = std::min(first.value_or(it->state.paused_until()), it->state.paused_until());
        }
    }
    return first;
}

std::size_t dispatcher::usable_instances(service_state& service) const {
    update_states(service);
    return static_cast<std::size_t>(
        std::count_if(service.instances.begin(), service.instances.end(),
                      [](const auto& it) { return it.second->state.accepts_work(); }));
}

bool dispatcher::may_take(service_state& service, const stage_instance& instance,
                          const piece_limits& limits, const order_key& key) {
    const auto it = m_orders.find(key);
    if (it == m_orders.end()) {
        return true;
    }
    auto& state = it->second;
    const auto& preferred = state.preferred_domain();
    if (preferred.empty() || preferred == instance.identity.failure_domain) {
        return true;
    }
    const auto now = common::monotonic_clock::now();
    const auto& order = state.order;
    hold_facts facts;
    facts.until_target = order.target_time - now;
    facts.full_call = call_time(limits, limits.batch);
    facts.until_preferred = until_free_in(preferred, service, limits, now);
    facts.held = now - state.held_since.value_or(now);
    facts.result_bytes = order.result_bytes;
    facts.is_started = !state.started_domain.empty();
    const bool held = m_placement.hold(facts);
    if (held) {
        state.held_since = state.held_since.value_or(now);
    }
    return !held;
}

std::optional<common::duration> dispatcher::until_free_in(const std::string& failure_domain,
                                                          const service_state& service,
                                                          const piece_limits& limits,
                                                          common::time_point now) {
    std::optional<common::duration> first;
    for (const auto& [id, it] : service.instances) {
        if (!it->state.accepts_work() || it->identity.failure_domain != failure_domain) {
            continue;
        }
        auto free_at = std::max(now, it->backoff_until);
        if (it->awaiting_report || it->foreign_calls >= limits.slots) {
            // It is not known when these calls began.
            free_at = std::max(free_at, now + call_time(limits, limits.batch));
        } else if (it->calls + it->foreign_calls >= limits.slots) {
            free_at = std::max(free_at, it->expected_end);
        }
        first = std::min(first.value_or(free_at - now), free_at - now);
    }
    return first;
}

std::shared_ptr<dispatcher::stage_instance>
dispatcher::pick_free_instance(service_state& service, const piece_limits& limits) {
    const auto now = common::monotonic_clock::now();
    update_states(service);
    const auto first = service.queue.first();
    const auto order = first ? m_orders.find(*first) : m_orders.end();
    const bool is_known = order != m_orders.end();
    const auto& preferred = is_known ? order->second.preferred_domain() : std::string{};
    const double result_bytes = is_known ? order->second.order.result_bytes : 0;
    const auto pieces =
        std::min(service.queue.size(), sustained_limits(limits, result_bytes).batch);
    const auto facts_of = [&](stage_instance& it) {
        const double used = it.memory.used(now);
        return free_instance{it.identity.failure_domain == preferred, used,
                             limits.result_memory_bytes - used,
                             result_bytes * static_cast<double>(pieces)};
    };
    std::shared_ptr<stage_instance> best;
    std::shared_ptr<stage_instance> ejected;
    for (const auto& [id, it] : service.instances) {
        if (it->awaiting_report || it->calls + it->foreign_calls >= limits.slots ||
            it->backoff_until > now) {
            continue;
        }
        if (it->state.phase() == instances::instance_phase::ejected) {
            ejected = it;
        }
        if (!it->state.accepts_work()) {
            continue;
        }
        if (!best || m_placement.is_better(facts_of(*it), facts_of(*best))) {
            best = it;
        }
    }
    // An ejected instance is used only if all instances that accept work are ejected.
    return best || usable_instances(service) > 0 ? best : ejected;
}

} // namespace jujubemast::gateway::stages
