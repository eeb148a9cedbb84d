#include "gateway/service_pool.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"

namespace jujubemast::gateway {

namespace {

http::client_limits forward_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{500};
    // The forwarder limits every wait by the caller's deadline.
    limits.head_timeout = std::chrono::seconds{120};
    limits.progress_timeout = std::chrono::seconds{120};
    limits.max_idle_connections = 4;
    limits.idle_lifetime = std::chrono::seconds{8};
    return limits;
}

} // namespace

service_pool::service_pool(runtime::task_context context, policy::routing_hook route)
    : m_context{std::move(context)}, m_route{std::move(route)} {}

void service_pool::update(const std::string& service, const upstream_map& known,
                          common::time_point now) {
    std::erase_if(m_members, [&](const std::shared_ptr<pool_member>& it) {
        const auto found = known.find(it->identity.id);
        const bool gone = found == known.end() || !is_same_incarnation(found->second, it->identity);
        if (gone) {
            // Requests in progress keep the member and its client alive until they end.
            m_health.remove_member(it->identity.id);
        }
        return gone;
    });
    for (const auto& [id, it] : known) {
        if (it.service != service) {
            continue;
        }
        const auto member = std::find_if(m_members.begin(), m_members.end(),
                                         [&, &name = id](const std::shared_ptr<pool_member>& m) {
                                             return m->identity.id == name;
                                         });
        if (member != m_members.end()) {
            (*member)->identity = it;
            continue;
        }
        auto added = std::make_shared<pool_member>();
        added->identity = it;
        added->digest = common::digest_of(id);
        added->client = std::make_shared<http::client>(m_context, it.address, forward_limits());
        added->available_since = now;
        m_members.push_back(std::move(added));
        m_health.add_member(id);
    }
}

void service_pool::set_budget(const policy::retry_budget_options& options) {
    m_budget.set_options(options);
}

std::vector<policy::upstream_view> service_pool::views(common::time_point now) {
    std::vector<policy::upstream_view> result;
    result.reserve(m_members.size());
    for (const auto& it : m_members) {
        policy::upstream_view view;
        view.name = it->identity.id;
        view.name_digest = it->digest;
        view.failure_domain = it->identity.failure_domain;
        view.available = it->identity.phase == upstream_phase::serving;
        view.ejected = m_health.state(it->identity.id, now) == policy::rotation_state::ejected;
        view.reported_in_progress = it->in_progress;
        view.limit = it->identity.slots;
        view.available_since = it->available_since;
        result.push_back(std::move(view));
    }
    return result;
}

std::shared_ptr<pool_member> service_pool::choose(const policy::routing_request& request) {
    const auto candidates = views(request.now);
    const auto chosen = m_route(request, candidates);
    if (!chosen) {
        return nullptr;
    }
    m_health.record_dispatch(m_members[*chosen]->identity.id, request.now);
    return m_members[*chosen];
}

std::shared_ptr<pool_member> service_pool::affinity_member(std::uint64_t prefix) {
    const auto it = std::max_element(
        m_members.begin(), m_members.end(),
        [&](const std::shared_ptr<pool_member>& a, const std::shared_ptr<pool_member>& b) {
            return policy::rendezvous_rank(prefix, a->digest) <
                   policy::rendezvous_rank(prefix, b->digest);
        });
    return it == m_members.end() ? nullptr : *it;
}

bool service_pool::has_alternative(const std::vector<std::string>& excluded) {
    return std::any_of(
        m_members.begin(), m_members.end(), [&](const std::shared_ptr<pool_member>& it) {
            return it->identity.phase == upstream_phase::serving &&
                   std::find(excluded.begin(), excluded.end(), it->identity.id) == excluded.end();
        });
}

void service_pool::record_success(const pool_member& member, common::duration service_time,
                                  common::time_point now) {
    m_health.record_success(member.identity.id, service_time, now);
}

void service_pool::record_failure(const pool_member& member, common::time_point now) {
    m_health.record_failure(member.identity.id, now);
}

} // namespace jujubemast::gateway
