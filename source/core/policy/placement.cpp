#include "policy/placement.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace jujubemast::policy {

namespace {

// Requests that are added to the count of each domain, so that few requests show no difference.
constexpr double prior_requests = 4;
// An entry may send more than its part, so the load of the whole pool is never estimated higher.
constexpr double max_mean_share = 0.65;
// An upstream that holds the prompt may have this many more requests per slot than the one of the
// routing policy. It is the margin that the policy itself allows for a prompt.
constexpr double max_extra_load = 0.1;

/// Estimates what the work requires at each upstream.
class work_estimate {
public:
    work_estimate(const routing_request& request, std::span<const upstream_view> upstreams)
        : m_request{request}, m_upstreams{upstreams} {
        for (const auto& it : request.inputs) {
            m_input_bytes += it.bytes;
        }
    }

    [[nodiscard]] placed_work work_at(std::size_t n) const {
        const auto& domain = m_upstreams[n].failure_domain;
        placed_work work;
        work.remote_bytes = remote_bytes(domain);
        work.remote_passages = work.remote_bytes > 0 ? 2 : 0;
        work.wait_ms = queue_wait_ms(busy_share_of(m_request, m_upstreams, domain));
        work.prompt_ms = holds_prompt(n) ? 0 : m_request.prompt_ms / (1 + expected_uses());
        return work;
    }

    /// Returns the upstream to which all entries send the prefix unless it is overloaded, also if
    /// this request has failed there.
    [[nodiscard]] std::optional<std::size_t> first_by_prefix() const {
        std::optional<std::size_t> first;
        std::uint64_t first_rank = 0;
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            const auto rank = rendezvous_rank(m_request.prefix, m_upstreams[n].name_digest);
            if (m_upstreams[n].available && (!first || rank > first_rank)) {
                first = n;
                first_rank = rank;
            }
        }
        return first;
    }

    [[nodiscard]] double remote_bytes(std::string_view domain) const {
        double local = 0;
        for (const auto& it : m_request.inputs) {
            local += it.failure_domain == domain ? it.bytes : 0;
        }
        return m_input_bytes - local;
    }

private:
    [[nodiscard]] bool holds_prompt(std::size_t n) const {
        const bool is_in_use = m_request.prefix_shared || m_request.prefix_uses > 0;
        return m_request.prefix == 0 || m_upstreams[n].holds_prefix ||
               (is_in_use && first_by_prefix() == n);
    }

    /// Returns how many requests of all entries will use the prompt parts that one upstream of a
    /// domain reads now. Its cost is shared among them.
    [[nodiscard]] double expected_uses() const {
        std::vector<std::string_view> domains;
        for (const auto& it : m_upstreams) {
            if (std::find(domains.begin(), domains.end(), it.failure_domain) == domains.end()) {
                domains.push_back(it.failure_domain);
            }
        }
        return m_request.prefix_uses * static_cast<double>(m_request.senders) /
               static_cast<double>(domains.size());
    }

    const routing_request& m_request;
    std::span<const upstream_view> m_upstreams;
    double m_input_bytes = 0;
};

/// Makes the decision of `make_placement_by_cost` for one request.
class cost_comparison {
public:
    cost_comparison(const transfer_terms& terms, const routing_request& request,
                    std::span<const upstream_view> upstreams, const routing_hook& route)
        : m_terms{terms}, m_request{request}, m_upstreams{upstreams}, m_route{route},
          m_estimate{request, upstreams} {}

    placement_choice choose() const {
        if (!m_request.inputs.empty()) {
            return choose_by_inputs();
        }
        if (m_request.prefix != 0) {
            return m_request.excluded.empty() ? choose_by_prompt() : choose_holder();
        }
        return choose_by_target();
    }

private:
    [[nodiscard]] placement_choice choose_by_inputs() const {
        const auto routed = m_route(m_request, m_upstreams);
        if (!routed) {
            return {};
        }
        const auto& home = m_upstreams[*routed].failure_domain;
        const auto* largest = largest_input();
        if (largest->failure_domain == home) {
            return {routed, placement_reason::at_inputs, remote_bytes(home)};
        }
        const auto home_work = work_at(*routed);
        placement_choice best{routed, placement_reason::none_at_inputs, remote_bytes(home)};
        double best_cost = estimate_cost(m_terms, home_work).total_ms();
        for (const auto& it : m_request.inputs) {
            const auto local =
                it.failure_domain == home ? std::nullopt : choose_in(it.failure_domain);
            if (!local) {
                continue;
            }
            const auto work = work_at(*local);
            const double cost = estimate_cost(m_terms, work).total_ms();
            if (cost < best_cost) {
                best = {local, placement_reason::moved_to_inputs, work.remote_bytes};
                best_cost = cost;
            } else if (best.index == routed && &it == largest) {
                const bool is_busier =
                    work.wait_ms - home_work.wait_ms > work.prompt_ms - home_work.prompt_ms;
                best.reason = is_busier ? placement_reason::load : placement_reason::prompt;
            }
        }
        return best;
    }

    /// An upstream that does not hold the prompt copies it from the one that does, or reads it,
    /// whichever costs less. A copy within the domain has no price.
    [[nodiscard]] placement_choice choose_by_prompt() const {
        const auto routed = m_route(m_request, m_upstreams);
        const auto first = m_estimate.first_by_prefix();
        if (!routed || !first || *routed == *first) {
            return {routed, placement_reason::routing, 0};
        }
        const auto& home = m_upstreams[*first].failure_domain;
        const auto& routed_domain = m_upstreams[*routed].failure_domain;
        const auto near = routed_domain == home ? std::nullopt : choose_in(home);
        if (!near) {
            return {routed, placement_reason::routing, 0};
        }
        const double copy_ms =
            std::min(m_request.prompt_ms, price_of(m_terms, m_request.prompt_bytes));
        const auto cost = [&](const std::string& domain, double prompt_ms) {
            placed_work work;
            work.wait_ms = queue_wait_ms(busy_share_of(m_request, m_upstreams, domain));
            work.prompt_ms = prompt_ms;
            return estimate_cost(m_terms, work).total_ms();
        };
        if (cost(home, 0) < cost(routed_domain, copy_ms)) {
            return {near, placement_reason::near_prompt, 0};
        }
        return {routed, placement_reason::routing, 0};
    }

    /// After a failure no other upstream holds the prompt but those that lately got it, for example
    /// because they read results of other requests.
    [[nodiscard]] placement_choice choose_holder() const {
        const auto routed = m_route(m_request, m_upstreams);
        if (!routed || m_upstreams[*routed].holds_prefix) {
            return {routed, placement_reason::routing, 0};
        }
        const double highest_load = relative_load(m_upstreams[*routed]) + max_extra_load;
        const auto holder = choose_where([&](const upstream_view& it) {
            return it.holds_prefix && relative_load(it) <= highest_load;
        });
        const bool is_better = holder && estimate_cost(m_terms, work_at(*holder)).total_ms() <
                                             estimate_cost(m_terms, work_at(*routed)).total_ms();
        return is_better ? placement_choice{holder, placement_reason::prompt_held, 0}
                         : placement_choice{routed, placement_reason::routing, 0};
    }

    [[nodiscard]] placement_choice choose_by_target() const {
        const auto& target = m_request.target_domain;
        if (target.empty()) {
            return place_by_routing(m_request, m_upstreams, m_route);
        }
        if (const auto chosen = choose_in(target)) {
            const bool is_local = target == m_request.failure_domain;
            return {chosen, is_local ? placement_reason::local : placement_reason::overflow, 0};
        }
        return {m_route(m_request, m_upstreams), placement_reason::none_in_target, 0};
    }

    [[nodiscard]] const stored_bytes* largest_input() const {
        return &*std::max_element(
            m_request.inputs.begin(), m_request.inputs.end(),
            [](const stored_bytes& a, const stored_bytes& b) { return a.bytes < b.bytes; });
    }

    /// Returns the choice of the routing policy among the upstreams that the predicate accepts. An
    /// upstream that the policy would use only as a last resort is no alternative to others.
    template <typename Predicate>
    [[nodiscard]] std::optional<std::size_t> choose_where(const Predicate& accepts) const {
        std::vector<upstream_view> views;
        std::vector<std::size_t> indices;
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            const auto& it = m_upstreams[n];
            if (accepts(it) && !it.ejected && !it.probing) {
                views.push_back(it);
                indices.push_back(n);
            }
        }
        const auto chosen = m_route(m_request, views);
        return chosen ? std::optional{indices[*chosen]} : std::nullopt;
    }

    [[nodiscard]] std::optional<std::size_t> choose_in(std::string_view domain) const {
        return choose_where([&](const upstream_view& it) { return it.failure_domain == domain; });
    }

    [[nodiscard]] placed_work work_at(std::size_t n) const { return m_estimate.work_at(n); }

    [[nodiscard]] double remote_bytes(std::string_view domain) const {
        return m_estimate.remote_bytes(domain);
    }

    const transfer_terms& m_terms;
    const routing_request& m_request;
    std::span<const upstream_view> m_upstreams;
    const routing_hook& m_route;
    work_estimate m_estimate;
};

} // namespace

placement_choice place_by_routing(const routing_request& request,
                                  std::span<const upstream_view> upstreams,
                                  const routing_hook& route) {
    const auto chosen = route(request, upstreams);
    double remote_bytes = 0;
    for (const auto& it : request.inputs) {
        remote_bytes +=
            chosen && upstreams[*chosen].failure_domain != it.failure_domain ? it.bytes : 0;
    }
    return {chosen, placement_reason::routing, remote_bytes};
}

placement_hook make_placement_by_cost(const transfer_terms& terms) {
    return [terms](const routing_request& request, std::span<const upstream_view> upstreams,
                   const routing_hook& route) {
        const bool is_single =
            std::all_of(upstreams.begin(), upstreams.end(), [&](const upstream_view& it) {
                return it.failure_domain == upstreams.front().failure_domain;
            });
        if (is_single) {
            return place_by_routing(request, upstreams, route);
        }
        return cost_comparison{terms, request, upstreams, route}.choose();
    };
}

placed_work estimate_work(const routing_request& request, std::span<const upstream_view> upstreams,
                          std::size_t n) {
    return work_estimate{request, upstreams}.work_at(n);
}

double busy_share_of(const routing_request& request, std::span<const upstream_view> upstreams,
                     std::string_view failure_domain) {
    double slots = 0;
    double work = 0;
    double domain_slots = 0;
    double domain_work = 0;
    for (const auto& it : upstreams) {
        if (!is_eligible(request, it)) {
            continue;
        }
        const double requests = relative_load(it) * it.limit;
        slots += it.limit;
        work += requests;
        if (it.failure_domain == failure_domain) {
            domain_slots += it.limit;
            domain_work += requests;
        }
    }
    if (domain_slots <= 0) {
        return 0;
    }
    const double mean = work / slots;
    const double ratio = (domain_work + prior_requests) / (mean * domain_slots + prior_requests);
    return ratio * std::min(max_mean_share, mean * static_cast<double>(request.senders));
}

} // namespace jujubemast::policy
