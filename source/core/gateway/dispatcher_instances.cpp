#include <algorithm>
#include <utility>

#include "gateway/dispatcher.h"

// Tracks the instances of the services and selects the instance for the next call.

namespace jujubemast::gateway {

namespace {

// Pieces wait for an instance in the preferred failure domain while at least this many full calls
// fit in before their target time.
constexpr int locality_wait_calls = 2;

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
    std::erase_if(service.instances, [&](const auto& it) {
        auto& instance = *it.second;
        const auto known = m_upstreams->find(it.first);
        const bool gone =
            known == m_upstreams->end() || !is_same_incarnation(known->second, instance.identity);
        instance.leaving = gone || known->second.phase == upstream_phase::draining;
        if (gone) {
            // Calls in progress keep the instance and its client alive until they end.
            service.health.remove_member(it.first);
        }
        return gone;
    });
    for (const auto& [id, it] : *m_upstreams) {
        if (it.service != name || service.instances.contains(id)) {
            continue;
        }
        auto added = std::make_shared<instance_state>();
        added->identity = it;
        added->leaving = it.phase == upstream_phase::draining;
        added->client = std::make_unique<http::client>(m_context, it.address, call_limits());
        service.instances.emplace(id, std::move(added));
        service.health.add_member(id);
    }
}

std::size_t dispatcher::usable_instances(service_state& service) const {
    const auto now = common::monotonic_clock::now();
    return static_cast<std::size_t>(
        std::count_if(service.instances.begin(), service.instances.end(), [&](const auto& it) {
            return !it.second->leaving &&
                   service.health.state(it.first, now) != policy::rotation_state::ejected;
        }));
}

bool dispatcher::may_take(service_state& service, const instance_state& instance,
                          const piece_limits& limits, const order_key& key) const {
    const auto it = m_orders.find(key);
    if (it == m_orders.end()) {
        return true;
    }
    const auto& order = it->second.order;
    if (order.preferred_domain.empty() ||
        order.preferred_domain == instance.identity.failure_domain) {
        return true;
    }
    const auto now = common::monotonic_clock::now();
    if (order.target_time - now < call_time(limits, limits.batch) * locality_wait_calls) {
        return true;
    }
    return std::none_of(service.instances.begin(), service.instances.end(), [&](const auto& other) {
        return !other.second->leaving &&
               other.second->identity.failure_domain == order.preferred_domain &&
               service.health.last_state(other.first) != policy::rotation_state::ejected;
    });
}

std::shared_ptr<dispatcher::instance_state>
dispatcher::pick_free_instance(service_state& service, const piece_limits& limits) {
    const auto now = common::monotonic_clock::now();
    std::shared_ptr<instance_state> best;
    std::shared_ptr<instance_state> ejected;
    for (const auto& [id, it] : service.instances) {
        if (it->leaving || it->awaiting_report || it->calls + it->foreign_calls >= limits.slots ||
            it->backoff_until > now) {
            continue;
        }
        if (service.health.state(id, now) == policy::rotation_state::ejected) {
            ejected = it;
            continue;
        }
        if (!best || it->memory.used(now) < best->memory.used(now)) {
            best = it;
        }
    }
    // An ejected instance is used only if all instances that accept work are ejected.
    return best || usable_instances(service) > 0 ? best : ejected;
}

} // namespace jujubemast::gateway
