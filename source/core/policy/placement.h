#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include "common/enum_names.h"
#include "policy/domain_cost.h"
#include "policy/routing.h"

namespace jujubemast::policy {

/// Why an upstream of its failure domain was chosen.
enum class placement_reason {
    /// The routing policy alone decided: the work has no large inputs, or there is one domain.
    routing,
    /// The routing policy chose an upstream in the domain that stores most of the inputs.
    at_inputs,
    /// The upstream was chosen because its domain stores inputs.
    moved_to_inputs,
    /// No upstream in the domain of the inputs takes work.
    none_at_inputs,
    /// To read the prompt in the domain of the inputs would cost more than to move the inputs.
    prompt,
    /// The upstreams in the domain of the inputs are busy.
    load,
    /// The upstream that the prompt maps to is overloaded; another one of its domain can copy the
    /// prompt from it.
    near_prompt,
    /// A retry or a resumed stream at an upstream that has lately got the prompt.
    prompt_held,
    /// Work without inputs and prompt in the domain of this entry.
    local,
    /// Work without inputs and prompt that leaves the domain of this entry, which is overloaded or
    /// has no upstream.
    overflow,
    /// No upstream in the domain that should serve the work takes it.
    none_in_target
};

struct placement_choice {
    /// Nothing if no upstream is eligible.
    std::optional<std::size_t> index;
    placement_reason reason = placement_reason::routing;
    /// Bytes of the inputs that cross domains.
    double remote_bytes = 0;
};

/// Chooses an upstream, given the routing policy for upstreams whose domain does not matter.
using placement_hook = std::function<placement_choice(const routing_request& request,
                                                      std::span<const upstream_view> upstreams,
                                                      const routing_hook& route)>;

/// Leaves the choice to the routing policy.
placement_choice place_by_routing(const routing_request& request,
                                  std::span<const upstream_view> upstreams,
                                  const routing_hook& route);

/// Compares the choice of the routing policy with its choice in each domain that stores inputs, by
/// the time and the bytes that each costs. Work without inputs whose prompt maps to an overloaded
/// upstream stays in the domain of that one if its others are not busier, and work without a prompt
/// goes to its target domain.
placement_hook make_placement_by_cost(const transfer_terms& terms);

/// Returns what placing the work at this upstream requires, for the comparison and for
/// explanations.
placed_work estimate_work(const routing_request& request, std::span<const upstream_view> upstreams,
                          std::size_t n);

/// Returns the part of the slots of a domain's upstreams that is in use, as far as the requests of
/// this entry show it. All entries follow the same rules, so the work of one is a sample of the
/// work of all.
double busy_share_of(const routing_request& request, std::span<const upstream_view> upstreams,
                     std::string_view failure_domain);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::placement_reason> {
    static constexpr std::array<std::string_view, 11> table{
        "routing",     "at_inputs",   "moved_to_inputs", "none_at_inputs", "prompt",        "load",
        "near_prompt", "prompt_held", "local",           "overflow",       "none_in_target"};
};

} // namespace jujubemast::common
