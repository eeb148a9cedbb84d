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

/// State of one upstream as known to the entry that routes a request.
struct upstream_view {
    std::string name;
    /// Digest of the name, the input of `rendezvous_rank`.
    std::uint64_t name_digest = 0;
    std::string failure_domain;
    /// The link to its sidecar is up and the sidecar accepts new work.
    bool available = false;
    /// The upstream has loaded the model that the work needs.
    bool holds_model = true;
    /// Ejected from rotation after failures or because it is much slower than its pool.
    bool ejected = false;
    /// After an ejection, the next work shows whether the upstream is well again. Urgent work does
    /// not, because a probe that fails leaves it no time for another attempt.
    bool probing = false;
    /// Requests queued and in progress according to the last load report.
    std::uint32_t reported_queued = 0;
    std::uint32_t reported_in_progress = 0;
    /// Concurrency limit of the sidecar; zero when unknown.
    std::uint32_t limit = 0;
    /// Requests that this entry has sent since that report.
    std::uint32_t sent_since_report = 0;
    /// When the upstream became available to this entry.
    common::time_point available_since;
    /// This entry has lately sent it a prompt with the prefix of the work.
    bool holds_prefix = false;
};

/// Inputs that are stored in one failure domain.
struct stored_bytes {
    std::string failure_domain;
    double bytes = 0;
};

/// Properties of the work that routing takes into account.
struct routing_request {
    common::priority priority = common::priority::standard;
    std::string failure_domain;
    /// Upstreams that have already failed this stage of the request.
    std::vector<std::string> excluded;
    /// Digest of the prefix of the prompt, for cache affinity; zero when there is none.
    std::uint64_t prefix = 0;
    common::time_point now;
    /// Failure domain that should serve the work. Empty if any may.
    std::string target_domain;
    /// Large inputs that the upstream will read. Empty if the work has none.
    std::vector<stored_bytes> inputs;
    /// Other requests share the prefix, so upstreams that it maps to have it in their cache.
    bool prefix_shared = false;
    /// Time in which an upstream reads the shared prompt parts if its cache lacks them.
    double prompt_ms = 0;
    /// Size of the shared prompt parts in the cache of an upstream.
    double prompt_bytes = 0;
    /// Requests with the same prefix that this entry has sent lately.
    double prefix_uses = 0;
    /// Number of entries that send work to the same upstreams.
    std::size_t senders = 1;
};

/// Returns the index of the chosen upstream, or nothing when none is eligible.
using routing_hook = std::function<std::optional<std::size_t>(const routing_request&,
                                                              std::span<const upstream_view>)>;

/// The routing policies that can be selected in the settings.
enum class routing_policy { round_robin, two_choices, load_aware };

struct load_aware_options {
    /// An upstream of another failure domain is chosen only if its load is lower by more than this,
    /// in requests per slot.
    double domain_margin = 0.25;
    /// The upstream that a prefix maps to is chosen while its load exceeds the mean of the pool by
    /// at most this, in requests per slot.
    double affinity_margin = 0.5;
    /// Time over which the share of a newly available upstream rises to its full value.
    common::duration slow_start = std::chrono::seconds{10};
};

/// Takes the eligible upstreams in turn; the baseline that the other policies are compared with.
routing_hook make_round_robin();

/// Takes the less loaded of two randomly drawn upstreams (Mitzenmacher, "The Power of Two Choices
/// in Randomized Load Balancing", 2001).
routing_hook make_two_choices(common::random_hook random);

/// Sends prompts with a common prefix to the same upstream while its load stays near the mean of
/// the pool (after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
/// 2016, with rendezvous hashing instead of a ring). Other work goes to the less loaded of two
/// randomly drawn upstreams, with a preference for the local failure domain and a slow start for
/// newly available upstreams.
routing_hook make_load_aware(const load_aware_options& options, common::random_hook random);

/// Returns the hook of the selected policy with default options.
routing_hook make_routing(routing_policy selected, const common::random_hook& random);

/// Returns whether the upstream is available and not excluded for this work.
bool is_eligible(const routing_request& request, const upstream_view& upstream);

/// Returns the rank of an upstream for a prefix in rendezvous hashing; the highest rank is
/// preferred.
std::uint64_t rendezvous_rank(std::uint64_t prefix, std::uint64_t name_digest);

/// Returns the requests per slot, counting those of the last load report and those sent since.
double relative_load(const upstream_view& upstream);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::routing_policy> {
    static constexpr std::array<std::string_view, 3> table{"round_robin", "two_choices",
                                                           "load_aware"};
};

} // namespace jujubemast::common
