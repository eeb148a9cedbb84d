#include <algorithm>
#include <utility>

#include "gateway/instances/warm_up_share.h"
#include "gateway/stages/dispatcher.h"
#include "gateway/stages/expected_delay.h"

// Tracks the instances of the services and selects the instance for the next call.

namespace jujubemast::gateway::stages {

namespace {

// Gateways among which the calls to a cold instance are divided: while the owner of a service
// changes, two may take themselves for it.
constexpr std::size_t owners_at_once = 2;
// Retry delay of orders whose instances are all in drained failure domains or other regions.
constexpr common::duration none_allowed_retry = std::chrono::seconds{5};

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
        // Failure domain and region of an incarnation may change with its row.
        instance->identity = it;
        if (it.phase == upstream_phase::draining) {
            instance->state.announce_drain();
        }
        set_domain_drained(name, instance, it.domain_drained);
    }
}

void dispatcher::set_domain_drained(const std::string& name,
                                    const std::shared_ptr<stage_instance>& instance, bool drained) {
    const bool was_drained = instance->state.is_domain_drained();
    instance->state.set_domain_drained(drained);
    if (was_drained && !drained && instance->awaiting_report) {
        request_report(name, instance);
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
        if (it->state.accepts_work_after_pause()) {
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

bool dispatcher::may_take(const std::string& name, const stage_instance& instance,
                          const piece_limits& limits, const order_key& key) {
    const auto it = m_orders.find(key);
    if (it == m_orders.end()) {
        return true;
    }
    auto& state = it->second;
    if (!state.order.regions.allows(instance.identity.region)) {
        return false;
    }
    const auto& preferred = state.preferred_domain();
    if (preferred.empty() || preferred == instance.identity.failure_domain) {
        return true;
    }
    const auto now = common::monotonic_clock::now();
    const auto& order = state.order;
    hold_facts facts;
    facts.until_target = order.target_time - now;
    facts.full_call = call_time(limits, limits.batch);
    facts.until_preferred = until_free_in(preferred, order.regions, name, limits, now);
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
                                                          const allowed_regions& regions,
                                                          const std::string& name,
                                                          const piece_limits& limits,
                                                          common::time_point now) const {
    std::optional<common::duration> first;
    for (const auto& [id, it] : m_services.at(name).instances) {
        if (!it->state.accepts_work() || !regions.allows(it->identity.region) ||
            it->identity.failure_domain != failure_domain) {
            continue;
        }
        auto free_at = std::max({now, it->backoff_until, next_call_time(name, *it, now)});
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

common::time_point dispatcher::next_call_time(const std::string& service,
                                              const stage_instance& instance,
                                              common::time_point now) const {
    const auto it = m_configuration->services.find(service);
    if (it == m_configuration->services.end() || !it->second.warm_up) {
        return now;
    }
    const auto& limit = *it->second.warm_up;
    const auto end = instances::cold_end(instance.identity, limit.time);
    if (!end || *end <= now) {
        return now;
    }
    const auto permits = instances::divide_warm_up_rate(limit.rate).full / owners_at_once;
    return std::min(*end, instance.sends.next_send(permits, now).value_or(*end));
}

std::shared_ptr<dispatcher::stage_instance>
dispatcher::pick_free_instance(const std::string& name, service_state& service,
                               const piece_limits& limits) {
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
        const bool is_preferred = is_known && it.identity.failure_domain == preferred &&
                                  order->second.order.regions.allows(it.identity.region);
        return free_instance{is_preferred, used, limits.result_memory_bytes - used,
                             result_bytes * static_cast<double>(pieces)};
    };
    std::shared_ptr<stage_instance> best;
    std::shared_ptr<stage_instance> ejected;
    std::optional<common::time_point> next_permit;
    for (const auto& [id, it] : service.instances) {
        if (it->awaiting_report || it->calls + it->foreign_calls >= limits.slots ||
            it->backoff_until > now) {
            continue;
        }
        if (const auto permitted = next_call_time(name, *it, now); permitted > now) {
            next_permit = std::min(next_permit.value_or(permitted), permitted);
            continue;
        }
        if (it->state.accepts_work_as_fallback()) {
            ejected = it;
        }
        if (!it->state.accepts_work()) {
            continue;
        }
        if (!best || m_placement.is_better(facts_of(*it), facts_of(*best))) {
            best = it;
        }
    }
    if (!best && next_permit) {
        auto& timer = m_warm_up_timers[name];
        if (!timer) {
            timer = std::make_unique<runtime::timer>(m_context.loop());
        }
        timer->start(*next_permit - now, m_context.wrap([this, name] { dispatch(name); }));
    }
    // An ejected instance is used only if all instances that accept work are ejected.
    return best || usable_instances(service) > 0 ? best : ejected;
}

bool dispatcher::may_be_made(const service_state& service, const allowed_regions& regions) {
    return std::any_of(service.instances.begin(), service.instances.end(), [&](const auto& it) {
        const auto& state = it.second->state;
        return regions.allows(it.second->identity.region) &&
               (state.accepts_work() || state.accepts_work_as_fallback() ||
                state.accepts_work_after_pause());
    });
}

void dispatcher::refuse_orders_without_instances(const std::string& name, service_state& service) {
    const bool any_drained =
        std::any_of(service.instances.begin(), service.instances.end(),
                    [](const auto& it) { return it.second->state.is_domain_drained(); });
    // Called with each order while all instances are busy, so it must not look at all of them.
    const bool none_left = any_drained && !may_be_made(service, {});
    const auto& restricted = service.queue.restricted_orders();
    const auto candidates = none_left
                                ? service.queue.waiting_orders()
                                : std::vector<order_key>{restricted.begin(), restricted.end()};
    std::size_t refused = 0;
    for (const auto& it : candidates) {
        const auto order = m_orders.find(it);
        if (order == m_orders.end() || order->second.finished) {
            continue;
        }
        if (none_left || !may_be_made(service, order->second.order.regions)) {
            finish_order(order->second, {order_status::overloaded, {}, none_allowed_retry});
            ++refused;
        }
    }
    if (refused > 0) {
        m_log.warn("No instance may take the waiting orders.", {{"service", name}});
    }
}

} // namespace jujubemast::gateway::stages
