#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/enum_names.h"
#include "common/random.h"
#include "common/time.h"
#include "common/types.h"

namespace jujubemast::policy {

/// What an entry knows of one upstream when it routes.
struct upstream_view {
    std::string name;
    /// Digest of the name, which orders the upstreams for each prefix.
    std::uint64_t name_digest = 0;
    std::string failure_domain;
    /// The link to its sidecar is up and it takes new work.
    bool available = false;
    /// It holds the model that the work needs.
    bool holds_model = true;
    /// Taken out of rotation after failures or because it is much slower than its pool.
    bool ejected = false;
    /// Work queued and in progress according to the last report.
    std::uint32_t reported_queued = 0;
    std::uint32_t reported_in_progress = 0;
    /// Work the sidecar runs at the same time; zero when unknown.
    std::uint32_t limit = 0;
    /// Work that this entry has sent since that report.
    std::uint32_t sent_since_report = 0;
    /// When the upstream became available to this entry.
    common::time_point available_since;
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

/// The routing decisions that settings can choose.
enum class routing_policy { round_robin, two_choices, load_aware };

struct load_aware_options {
    /// An upstream of another failure domain is taken only if it is less loaded by this much, in
    /// work per slot.
    double domain_margin = 0.25;
    /// The upstream that a prefix maps to is taken while its load is at most this much above the
    /// mean of the pool, in work per slot.
    double affinity_margin = 0.5;
    /// A newly available upstream gets its full share only after this time.
    common::duration slow_start = std::chrono::seconds{10};
};

/// Baseline: takes the available upstreams in turn.
routing_hook make_round_robin();

/// Takes the less loaded of two upstreams drawn at random (Mitzenmacher, "The Power of Two Choices
/// in Randomized Load Balancing", 2001).
routing_hook make_two_choices(common::random_hook random);

/// Prompts with a common prefix go to the same upstream while its load stays near the mean of the
/// pool (after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016,
/// with rendezvous hashing in place of a ring). Other work goes to the less loaded of two upstreams
/// drawn at random, with a preference for the own failure domain and a slow start for newcomers.
routing_hook make_load_aware(const load_aware_options& options, common::random_hook random);

/// Creates the hook of a policy with default options.
routing_hook make_routing(routing_policy selected, const common::random_hook& random);

/// Returns whether the upstream may get this work.
bool is_eligible(const routing_request& request, const upstream_view& upstream);

/// Returns the rank of an upstream for a prefix in rendezvous hashing; the highest is taken first.
std::uint64_t rendezvous_rank(std::uint64_t prefix, std::uint64_t name_digest);

/// Returns work per slot, from the last report and what was sent since.
double relative_load(const upstream_view& upstream);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::routing_policy> {
    static constexpr std::array<std::string_view, 3> table{"round_robin", "two_choices",
                                                           "load_aware"};
};

} // namespace jujubemast::common
