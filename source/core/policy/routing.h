#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "common/types.h"

namespace jujubemast::policy {

/// What an entry knows of one upstream when it routes.
struct upstream_view {
    std::string name;
    std::string failure_domain;
    /// The link to its sidecar is up and it takes new work.
    bool available = false;
    /// Work queued and in progress according to the last report.
    std::uint32_t reported_queued = 0;
    std::uint32_t reported_in_progress = 0;
    /// Work the sidecar runs at the same time; zero when unknown.
    std::uint32_t limit = 0;
    /// Work that this entry has sent since that report.
    std::uint32_t sent_since_report = 0;
};

/// What is known of the work to route.
struct routing_request {
    common::priority priority = common::priority::standard;
    std::string failure_domain;
    /// Upstreams that have already failed this stage of the request.
    std::vector<std::string> excluded;
    /// Digest of the prompt's prefix, for cache affinity; zero when there is none.
    std::uint64_t prefix = 0;
    common::time_point now;
};

/// Chooses an upstream by its index, or nothing when none is available.
using routing_hook = std::function<std::optional<std::size_t>(const routing_request&,
                                                              std::span<const upstream_view>)>;

/// Baseline: takes the available upstreams in turn.
routing_hook make_round_robin();

/// Takes the less loaded of two upstreams drawn at random (Mitzenmacher, "The Power of Two Choices
/// in Randomized Load Balancing", 2001).
routing_hook make_two_choices(common::random_hook random);

/// Returns whether the upstream may get this work.
bool is_eligible(const routing_request& request, const upstream_view& upstream);

/// Returns work per slot, from the last report and what was sent since.
double relative_load(const upstream_view& upstream);

} // namespace jujubemast::policy
