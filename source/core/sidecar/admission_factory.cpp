#include "sidecar/admission_factory.h"

#include <algorithm>

#include "policy/fair_queue.h"
#include "sidecar/sidecar_settings.h"

namespace jujubemast::sidecar {

namespace {

// The adaptive limit starts low and doubles per service time, so that the service time without load
// is measured first.
constexpr std::uint32_t initial_limit = 4;

} // namespace

policy::queue_hooks make_queue(const settings::values& values,
                               const policy::capacity_shares& initial) {
    policy::fair_queue_limits limits;
    limits.max_count =
        static_cast<std::size_t>(values.get(sidecar_settings::admission_queue_capacity));
    limits.max_cost = values.get(sidecar_settings::admission_queue_cost);
    const auto order =
        common::from_name<policy::queue_order>(values.get(sidecar_settings::admission_order));
    switch (order.value()) {
    case policy::queue_order::fifo:
        return policy::make_fifo_queue(limits.max_count);
    case policy::queue_order::fair:
        break;
    }
    return policy::make_fair_queue(limits, initial);
}

policy::limit_hooks make_limit(const settings::values& values) {
    const auto maximum =
        static_cast<std::uint32_t>(values.get(sidecar_settings::admission_concurrency));
    const auto kind =
        common::from_name<policy::limit_kind>(values.get(sidecar_settings::admission_limit));
    switch (kind.value()) {
    case policy::limit_kind::fixed:
        return policy::make_fixed_limit(maximum);
    case policy::limit_kind::adaptive:
        break;
    }
    return policy::make_adaptive_limit(
        {.maximum = maximum,
         .initial = std::min(initial_limit, maximum),
         .tolerance = values.get(sidecar_settings::admission_latency_tolerance)});
}

policy::capacity_shares default_shares(const settings::values& values) {
    return {{values.get(sidecar_settings::admission_floor_urgent),
             values.get(sidecar_settings::admission_floor_standard),
             values.get(sidecar_settings::admission_floor_background)},
            {}};
}

policy::capacity_shares shares_of(const tickets::configuration& current,
                                  const policy::capacity_shares& defaults) {
    policy::capacity_shares shares;
    for (std::size_t n = 0; n < shares.floors.size(); ++n) {
        shares.floors.at(n) = current.priorities.at(n).floor;
    }
    if (std::all_of(shares.floors.begin(), shares.floors.end(),
                    [](double it) { return it <= 0.0; })) {
        shares.floors = defaults.floors;
    }
    for (const auto& [name, workspace] : current.workspaces) {
        shares.weights.emplace(name, workspace.weight);
    }
    return shares;
}

} // namespace jujubemast::sidecar
