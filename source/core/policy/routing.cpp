#include "policy/routing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace jujubemast::policy {

namespace {

/// Mixes the bits of a 64-bit number (the finalizer of SplitMix64, Steele, Lea and Flood, 2014).
std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

template <typename Predicate>
std::vector<std::size_t> indices_where(std::span<const upstream_view> upstreams,
                                       const Predicate& predicate) {
    std::vector<std::size_t> indices;
    indices.reserve(upstreams.size());
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        if (predicate(upstreams[n])) {
            indices.push_back(n);
        }
    }
    return indices;
}

/// Returns the indices of the eligible upstreams. Ejected upstreams, and those to be probed by less
/// urgent work, are included only when there is no other: trying one that may fail is better than
/// refusing the request.
std::vector<std::size_t> eligible_indices(const routing_request& request,
                                          std::span<const upstream_view> upstreams) {
    const bool may_probe = request.priority != common::priority::urgent;
    auto indices = indices_where(upstreams, [&](const upstream_view& it) {
        return is_eligible(request, it) && !it.ejected && (may_probe || !it.probing);
    });
    if (indices.empty()) {
        indices = indices_where(upstreams,
                                [&](const upstream_view& it) { return is_eligible(request, it); });
    }
    return indices;
}

/// Makes the decision of `make_load_aware` for one request.
class load_aware_choice {
public:
    load_aware_choice(const load_aware_options& options, const common::random_hook& random,
                      const routing_request& request, std::span<const upstream_view> upstreams)
        : m_options{options}, m_random{random}, m_request{request}, m_upstreams{upstreams},
          m_candidates{eligible_indices(request, upstreams)} {}

    std::optional<std::size_t> choose() {
        if (m_candidates.empty()) {
            return std::nullopt;
        }
        if (m_request.prefix != 0) {
            if (const auto preferred = choose_by_prefix()) {
                return preferred;
            }
        }
        return less_loaded_of(draw_candidate(), draw_candidate());
    }

private:
    /// Returns the upstream with the highest rank for the prefix among those whose load is near the
    /// mean.
    [[nodiscard]] std::optional<std::size_t> choose_by_prefix() const {
        double sum = 0;
        for (const auto n : m_candidates) {
            sum += weighted_load(n);
        }
        const double bound =
            sum / static_cast<double>(m_candidates.size()) + m_options.affinity_margin;
        std::optional<std::size_t> best;
        std::uint64_t best_rank = 0;
        for (const auto n : m_candidates) {
            const auto rank = rendezvous_rank(m_request.prefix, m_upstreams[n].name_digest);
            if (weighted_load(n) <= bound && (!best || rank > best_rank)) {
                best = n;
                best_rank = rank;
            }
        }
        return best;
    }

    std::size_t draw_candidate() {
        return m_candidates[common::uniform_below(m_random, m_candidates.size())];
    }

    [[nodiscard]] std::size_t less_loaded_of(std::size_t first, std::size_t second) const {
        return load_with_domain_penalty(second) < load_with_domain_penalty(first) ? second : first;
    }

    /// Returns the load, increased by the margin for upstreams of another failure domain.
    [[nodiscard]] double load_with_domain_penalty(std::size_t n) const {
        const bool same_domain = m_upstreams[n].failure_domain == m_request.failure_domain;
        return weighted_load(n) + (same_domain ? 0 : m_options.domain_margin);
    }

    /// Returns the load, increased during slow start so that the share of a newly available
    /// upstream rises gradually.
    [[nodiscard]] double weighted_load(std::size_t n) const {
        const auto& upstream = m_upstreams[n];
        const auto age = m_request.now - upstream.available_since;
        const double load = relative_load(upstream);
        if (age >= m_options.slow_start || m_options.slow_start <= common::duration::zero()) {
            return load;
        }
        constexpr double min_share = 0.1;
        const double share =
            std::max(min_share, std::chrono::duration<double>(age) /
                                    std::chrono::duration<double>(m_options.slow_start));
        return (load + 1 / static_cast<double>(std::max(1U, upstream.limit))) / share;
    }

    const load_aware_options& m_options;
    const common::random_hook& m_random;
    const routing_request& m_request;
    std::span<const upstream_view> m_upstreams;
    std::vector<std::size_t> m_candidates;
};

} // namespace

bool is_eligible(const routing_request& request, const upstream_view& upstream) {
    return upstream.available && std::find(request.excluded.begin(), request.excluded.end(),
                                           upstream.name) == request.excluded.end();
}

std::uint64_t rendezvous_rank(std::uint64_t prefix, std::uint64_t name_digest) {
    return mix_bits(name_digest ^ prefix);
}

double relative_load(const upstream_view& upstream) {
    const auto work =
        upstream.reported_queued + upstream.reported_in_progress + upstream.sent_since_report;
    return static_cast<double>(work) / std::max(1U, upstream.limit);
}

routing_hook make_round_robin() {
    return [next_index = std::size_t{0}](
               const routing_request& request,
               std::span<const upstream_view> upstreams) mutable -> std::optional<std::size_t> {
        const auto indices = eligible_indices(request, upstreams);
        if (indices.empty()) {
            return std::nullopt;
        }
        return indices[next_index++ % indices.size()];
    };
}

routing_hook make_two_choices(common::random_hook random) {
    return [random = std::move(random)](
               const routing_request& request,
               std::span<const upstream_view> upstreams) -> std::optional<std::size_t> {
        const auto indices = eligible_indices(request, upstreams);
        if (indices.empty()) {
            return std::nullopt;
        }
        const auto first = indices[common::uniform_below(random, indices.size())];
        const auto second = indices[common::uniform_below(random, indices.size())];
        return relative_load(upstreams[second]) < relative_load(upstreams[first]) ? second : first;
    };
}

routing_hook make_load_aware(const load_aware_options& options, common::random_hook random) {
    return [options, random = std::move(random)](const routing_request& request,
                                                 std::span<const upstream_view> upstreams) {
        return load_aware_choice{options, random, request, upstreams}.choose();
    };
}

routing_hook make_routing(routing_policy selected, const common::random_hook& random) {
    switch (selected) {
    case routing_policy::round_robin:
        return make_round_robin();
    case routing_policy::two_choices:
        return make_two_choices(random);
    case routing_policy::load_aware:
        return make_load_aware({}, random);
    }
    return make_round_robin();
}

} // namespace jujubemast::policy
