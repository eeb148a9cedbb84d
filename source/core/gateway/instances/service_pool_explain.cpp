#include <algorithm>

#include "gateway/instances/service_pool.h"

// Explains the choice of an instance.

namespace jujubemast::gateway::instances {

candidate_verdict service_pool::verdict_of(const pool_member& member,
                                           const policy::routing_request& request,
                                           const instance_filter& allowed) const {
    if (!allowed.regions().allows(member.identity.region)) {
        return candidate_verdict::other_region;
    }
    if (member.state.is_domain_drained()) {
        return candidate_verdict::domain_drained;
    }
    switch (member.state.phase()) {
    case instance_phase::pausing:
        return candidate_verdict::pausing;
    case instance_phase::ejected:
        return candidate_verdict::ejected;
    case instance_phase::draining:
        return candidate_verdict::draining;
    case instance_phase::gone:
        return candidate_verdict::gone;
    case instance_phase::joining:
    case instance_phase::serving:
        break;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(), member.identity.id) !=
        request.excluded.end()) {
        return candidate_verdict::tried;
    }
    if (next_send(member, request.now) > request.now) {
        return candidate_verdict::cold;
    }
    return member.has_free_connection() ? candidate_verdict::eligible
                                        : candidate_verdict::no_connection;
}

choice_explanation service_pool::explain(policy::routing_request request,
                                         const policy::transfer_terms& terms,
                                         const instance_filter& allowed) {
    update_states(request.now);
    // The next request must be placed as if nothing had been asked.
    auto balance = m_balance;
    prepare(request, allowed, balance);
    const auto upstreams = views(request, allowed);
    const auto placed = m_place(request, upstreams, m_route);
    choice_explanation result;
    result.reason = placed.reason;
    result.target_domain = request.target_domain;
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        const auto& member = *m_members[n];
        candidate_explanation candidate;
        candidate.id = member.identity.id;
        candidate.failure_domain = member.identity.failure_domain;
        candidate.verdict = verdict_of(member, request, allowed);
        candidate.in_progress = member.in_progress;
        candidate.slots = member.identity.slots;
        candidate.holds_prompt = has_prefix(member, request.prefix, request.now);
        candidate.work = policy::estimate_work(request, upstreams, n);
        candidate.cost_ms = policy::estimate_cost(terms, candidate.work).total_ms();
        if (placed.index == n) {
            candidate.verdict = candidate_verdict::chosen;
            result.chosen = candidate.id;
        }
        result.candidates.push_back(std::move(candidate));
    }
    return result;
}

} // namespace jujubemast::gateway::instances
