#include "policy/routing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace jujubemast::policy {

namespace {

std::vector<std::size_t> eligible_indices(const routing_request& request,
                                          std::span<const upstream_view> upstreams) {
    std::vector<std::size_t> indices;
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        if (is_eligible(request, upstreams[n])) {
            indices.push_back(n);
        }
    }
    return indices;
}

} // namespace

bool is_eligible(const routing_request& request, const upstream_view& upstream) {
    return upstream.available && std::find(request.excluded.begin(), request.excluded.end(),
                                           upstream.name) == request.excluded.end();
}

double relative_load(const upstream_view& upstream) {
    const auto work =
        upstream.reported_queued + upstream.reported_in_progress + upstream.sent_since_report;
    return static_cast<double>(work) / std::max(1U, upstream.limit);
}

routing_hook make_round_robin() {
    return [turn = std::size_t{0}](
               const routing_request& request,
               std::span<const upstream_view> upstreams) mutable -> std::optional<std::size_t> {
        const auto indices = eligible_indices(request, upstreams);
        if (indices.empty()) {
            return std::nullopt;
        }
        return indices[turn++ % indices.size()];
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

} // namespace jujubemast::policy
