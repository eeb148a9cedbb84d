#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "policy/placement.h"

namespace jujubemast::gateway::instances {

/// What speaks for or against an instance for one request.
enum class candidate_verdict {
    chosen,
    /// It could take the request, but another one is better.
    eligible,
    /// The request has failed there.
    tried,
    /// All connections that this gateway may have to it are in use.
    no_connection,
    /// It is cold, and this gateway has used its permits.
    cold,
    /// Its failure domain is drained.
    domain_drained,
    /// The request may not run in its region.
    other_region,
    pausing,
    ejected,
    draining,
    gone
};

struct candidate_explanation {
    std::string id;
    std::string failure_domain;
    candidate_verdict verdict = candidate_verdict::eligible;
    /// Requests of this gateway.
    std::uint32_t in_progress = 0;
    std::uint32_t slots = 0;
    /// This gateway has lately sent the prompt there.
    bool holds_prompt = false;
    policy::placed_work work;
    double cost_ms = 0;
};

/// The choice for a request and everything that it was made from.
struct choice_explanation {
    /// Empty if no instance takes the request.
    std::string chosen;
    policy::placement_reason reason = policy::placement_reason::routing;
    std::string target_domain;
    std::vector<candidate_explanation> candidates;
};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::candidate_verdict> {
    static constexpr std::array<std::string_view, 11> table{
        "chosen",       "eligible", "tried",   "no_connection", "cold", "domain_drained",
        "other_region", "pausing",  "ejected", "draining",      "gone"};
};

} // namespace jujubemast::common
