#include "gateway/instances/service_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/digest.h"

namespace jujubemast::gateway::instances {

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

/// Whether requests may be sent to the member: an ejected one gets them if there is no other.
bool takes_requests(const pool_member& member) {
    return member.state.accepts_work() || member.state.accepts_work_as_fallback();
}

bool is_excluded(const std::vector<std::string>& excluded, const pool_member& member) {
    return std::find(excluded.begin(), excluded.end(), member.identity.id) != excluded.end();
}

/// Returns the member with the highest rank for the prefix among those in allowed regions and
/// outside the drained failure domains that the predicate accepts.
template <typename Predicate>
std::shared_ptr<pool_member>
first_by_prefix(const std::vector<std::shared_ptr<pool_member>>& members, std::uint64_t prefix,
                const instance_filter& allowed, const Predicate& accepts) {
    std::shared_ptr<pool_member> best;
    std::uint64_t best_rank = 0;
    for (const auto& it : members) {
        const auto rank = policy::rendezvous_rank(prefix, it->digest);
        if (it->state.phase() != instance_phase::gone && !it->state.is_domain_drained() &&
            allowed.allows(it->identity) && accepts(*it) && (!best || rank > best_rank)) {
            best = it;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

service_pool::service_pool(runtime::task_context context, policy::routing_hook route,
                           policy::placement_hook place, policy::overflow_hook overflow)
    : m_context{std::move(context)}, m_route{std::move(route)}, m_place{std::move(place)},
      m_balance{std::move(overflow)} {}

void service_pool::update(const std::string& service, const upstream_map& known,
                          common::time_point now) {
    for (const auto& it : m_members) {
        const auto found = known.find(it->identity.id);
        const bool registered =
            found != known.end() && is_same_incarnation(found->second, it->identity);
        it->state.set_registered(registered, now);
        if (registered) {
            it->identity = found->second;
        }
    }
    for (const auto& [id, it] : known) {
        if (it.service == service) {
            add_if_new(it, now);
        }
    }
    for (const auto& it : m_members) {
        if (it->identity.phase == upstream_phase::draining) {
            it->state.announce_drain();
        }
        it->state.set_domain_drained(it->identity.domain_drained);
    }
    // A member that pauses is kept, because its entry may come back before the pause ends. Requests
    // in progress keep the others and their clients alive until they end.
    std::erase_if(m_members, [&](const std::shared_ptr<pool_member>& it) {
        const bool removed =
            it->state.phase() == instance_phase::gone && it->state.paused_until() <= now;
        if (removed && !known.contains(it->identity.id)) {
            m_health.remove_member(it->identity.id);
        }
        return removed;
    });
    divide_connections();
    for (const auto& it : m_members) {
        update_cold(*it, now);
    }
}

void service_pool::add_if_new(const upstream_instance& instance, common::time_point now) {
    const bool is_known = std::any_of(m_members.begin(), m_members.end(), [&](const auto& it) {
        return is_same_incarnation(it->identity, instance);
    });
    if (is_known) {
        return;
    }
    // Nothing that is known of a former incarnation with this id holds for the new one.
    m_health.remove_member(instance.id);
    m_health.add_member(instance.id);
    m_members.push_back(std::make_shared<pool_member>(
        pool_member{instance, common::digest_of(instance.id),
                    std::make_shared<http::client>(m_context, instance.address, forward_limits()),
                    0, instance_state{now}}));
}

void service_pool::set_connection_limit(std::optional<std::size_t> limit,
                                        const policy::share_holder& holder) {
    m_connection_limit = limit;
    m_holder = holder;
    divide_connections();
}

void service_pool::divide_connections() {
    if (!m_connection_limit) {
        for (const auto& it : m_members) {
            it->set_permits(unlimited_permits);
        }
        return;
    }
    // All gateways number the instances in the same way.
    std::sort(m_members.begin(), m_members.end(),
              [](const auto& a, const auto& b) { return a->digest < b->digest; });
    const auto permits = policy::divide_limit(*m_connection_limit, m_members.size(), m_holder);
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        m_members[n]->set_permits(permits[n]);
    }
}

void service_pool::set_warm_up(std::optional<warm_up_rule> rule, common::time_point now) {
    m_warm_up = std::move(rule);
    for (const auto& it : m_members) {
        update_cold(*it, now);
    }
}

void service_pool::update_cold(pool_member& member, common::time_point now) const {
    auto end = m_warm_up ? cold_end(member.identity, m_warm_up->time) : std::nullopt;
    if (end && *end <= now) {
        end.reset();
    }
    const bool was_cold = member.cold_until.has_value();
    member.cold_until = end;
    if (m_warm_up && was_cold != end.has_value()) {
        m_warm_up->on_change(member, now);
    }
}

common::time_point service_pool::next_send(const pool_member& member,
                                           common::time_point now) const {
    if (!m_warm_up || !member.cold_until) {
        return now;
    }
    const auto permits = m_warm_up->permits(member.digest, now);
    auto next = *member.cold_until;
    if (const auto permitted = member.sends.next_send(permits.count, now)) {
        next = std::min(next, *permitted);
    }
    return permits.next_change && next > now ? std::min(next, *permits.next_change) : next;
}

std::vector<std::shared_ptr<const pool_member>> service_pool::cold_members() const {
    std::vector<std::shared_ptr<const pool_member>> result;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(result),
                 [](const auto& it) { return it->cold_until.has_value(); });
    return result;
}

void service_pool::set_budget(const policy::retry_budget_options& options) {
    m_budget.set_options(options);
}

void service_pool::update_states(common::time_point now) {
    for (const auto& it : m_members) {
        it->state.update(now,
                         m_health.state(it->identity.id, now) == policy::rotation_state::ejected);
        update_cold(*it, now);
    }
}

std::vector<policy::upstream_view> service_pool::views(const policy::routing_request& request,
                                                       const instance_filter& allowed) const {
    const auto now = request.now;
    std::vector<policy::upstream_view> result;
    result.reserve(m_members.size());
    const bool is_weighed = !request.inputs.empty() || !request.excluded.empty();
    for (const auto& it : m_members) {
        policy::upstream_view view;
        view.name = it->identity.id;
        view.name_digest = it->digest;
        view.failure_domain = it->identity.failure_domain;
        view.available = takes_requests(*it) && allowed.allows(it->identity) &&
                         it->has_free_connection() && next_send(*it, now) <= now;
        view.ejected = it->state.phase() == instance_phase::ejected;
        view.reported_in_progress = it->in_progress;
        view.limit = it->identity.slots;
        view.available_since = it->state.registered_at();
        view.holds_prefix = is_weighed && m_prefixes.holds(request.prefix, it->digest, request.now);
        result.push_back(std::move(view));
    }
    return result;
}

void service_pool::set_gateways(const std::string& own_domain,
                                const std::map<std::string, std::size_t>& counts) {
    m_balance.set_gateways(own_domain, counts);
}

void service_pool::prepare(policy::routing_request& request, const instance_filter& allowed,
                           domain_balance& balance) const {
    request.prefix_uses = m_prefixes.uses(request.prefix, request.now);
    // A retry may go to any domain, because that of the first attempt may be what failed. The
    // shares of the domains count all instances, so they say nothing for a request that is limited
    // to some.
    if (request.prefix != 0 || !request.inputs.empty() || !request.excluded.empty() ||
        allowed.is_restricted()) {
        return;
    }
    domain_balance::slot_counts slots;
    std::size_t in_progress = m_waiting.size();
    for (const auto& it : m_members) {
        in_progress += it->in_progress;
        slots[it->identity.failure_domain] += it->state.accepts_work() ? it->identity.slots : 0;
    }
    request.target_domain = balance.choose(slots, in_progress, request.now);
}

instance_choice service_pool::place(policy::routing_request request, const instance_filter& allowed,
                                    domain_balance& balance, std::string_view failure_domain) {
    update_states(request.now);
    prepare(request, allowed, balance);
    auto candidates = views(request, allowed);
    if (!failure_domain.empty()) {
        for (auto& it : candidates) {
            it.available = it.available && it.failure_domain == failure_domain;
        }
    }
    const auto placed = m_place(request, candidates, m_route);
    if (!placed.index) {
        return explain_no_choice(request, allowed);
    }
    return {choice_outcome::chosen, m_members[*placed.index], {},
            placed.reason,          !request.inputs.empty(),  placed.remote_bytes};
}

instance_choice service_pool::choose(const policy::routing_request& request,
                                     const instance_filter& allowed) {
    auto choice = place(request, allowed, m_balance);
    if (choice.outcome == choice_outcome::chosen) {
        record_choice(*choice.member, request.prefix, request.now);
    }
    return choice;
}

void service_pool::record_choice(pool_member& member, std::uint64_t prefix,
                                 common::time_point now) {
    m_health.record_dispatch(member.identity.id, now);
    if (m_warm_up) {
        // Counted for all instances: one that is cold now may have been so before its row came.
        member.sends.record(now);
    }
    if (prefix != 0) {
        m_prefixes.record(prefix, member.digest, now);
    }
}

instance_choice service_pool::preview(const policy::routing_request& request,
                                      const instance_filter& allowed,
                                      std::string_view failure_domain) {
    // The shares of the domains must be as if nothing had been asked.
    auto balance = m_balance;
    auto choice = place(request, allowed, balance, failure_domain);
    if (choice.outcome == choice_outcome::chosen || failure_domain.empty()) {
        return choice;
    }
    return place(request, allowed, balance);
}

std::shared_ptr<pool_member> service_pool::take(const std::string& id, common::time_point now,
                                                std::uint64_t prefix) {
    update_states(now);
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&](const auto& member) {
        return member->identity.id == id && member->state.accepts_work() &&
               member->has_free_connection() && next_send(*member, now) <= now;
    });
    if (it == m_members.end()) {
        return nullptr;
    }
    record_choice(**it, prefix, now);
    return *it;
}

instance_choice service_pool::explain_no_choice(const policy::routing_request& request,
                                                const instance_filter& allowed) const {
    instance_choice result;
    for (const auto& it : m_members) {
        if (is_excluded(request.excluded, *it) || !allowed.allows(it->identity)) {
            continue;
        }
        if (takes_requests(*it)) {
            const auto next = next_send(*it, request.now);
            if (next <= request.now) {
                result.outcome = choice_outcome::no_connection;
                continue;
            }
            result.outcome = std::min(result.outcome, choice_outcome::cold);
            result.retry_at = std::min(result.retry_at.value_or(next), next);
        } else if (it->state.accepts_work_after_pause()) {
            const auto end = it->state.paused_until();
            result.outcome = std::min(result.outcome, choice_outcome::pausing);
            result.retry_at = std::min(result.retry_at.value_or(end), end);
        }
        if (it->state.is_domain_drained()) {
            result.outcome = std::min(result.outcome, choice_outcome::drained);
        }
    }
    return result;
}

std::shared_ptr<pool_member> service_pool::affinity_member(std::uint64_t prefix,
                                                           const instance_filter& allowed) const {
    return first_by_prefix(m_members, prefix, allowed, [](const pool_member&) { return true; });
}

std::shared_ptr<pool_member>
service_pool::affinity_member_in(std::string_view failure_domain, std::uint64_t prefix,
                                 const instance_filter& allowed) const {
    return first_by_prefix(m_members, prefix, allowed, [&](const pool_member& it) {
        return it.identity.failure_domain == failure_domain;
    });
}

bool service_pool::has_alternative(const std::vector<std::string>& excluded, common::time_point now,
                                   const instance_filter& allowed) {
    update_states(now);
    return std::any_of(m_members.begin(), m_members.end(),
                       [&](const std::shared_ptr<pool_member>& it) {
                           return takes_requests(*it) && allowed.allows(it->identity) &&
                                  !is_excluded(excluded, *it);
                       });
}

bool service_pool::has_ready_alternative(const std::vector<std::string>& excluded,
                                         common::time_point now, const instance_filter& allowed) {
    update_states(now);
    return std::any_of(m_members.begin(), m_members.end(),
                       [&](const std::shared_ptr<pool_member>& it) {
                           return takes_requests(*it) && !is_excluded(excluded, *it) &&
                                  allowed.allows(it->identity) && next_send(*it, now) <= now;
                       });
}

known_load service_pool::load_of(const pool_member& member, std::size_t gateways) const {
    known_load result;
    result.instances = 0;
    result.gateways = gateways;
    result.slots = member.identity.slots;
    for (const auto& it : m_members) {
        if (takes_requests(*it)) {
            ++result.instances;
            result.own_in_pool += it->in_progress;
        }
    }
    result.own_here = std::max(1U, member.in_progress) - 1;
    result.own_in_pool = std::max<std::size_t>(1, result.own_in_pool) - 1;
    return result;
}

void service_pool::record_success(const pool_member& member, common::duration service_time,
                                  common::time_point now) {
    m_health.record_success(member.identity.id, service_time, now);
}

void service_pool::record_failure(const pool_member& member, common::time_point now) {
    m_health.record_failure(member.identity.id, now);
}

} // namespace jujubemast::gateway::instances
