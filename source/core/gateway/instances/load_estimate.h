#pragma once

#include <cstddef>
#include <functional>

namespace jujubemast::gateway::instances {

/// What a gateway knows about the load of an instance and of the pool that it belongs to.
struct known_load {
    /// This gateway's requests at the instance and at all instances of the pool, without the one
    /// that is being sent.
    std::size_t own_here = 0;
    std::size_t own_in_pool = 0;
    std::size_t instances = 1;
    std::size_t gateways = 1;
    /// Slots of the instance.
    std::size_t slots = 1;
};

/// Returns whether an instance very probably has a free slot, so that it starts a request at once.
using free_slot_hook = std::function<bool(const known_load& known)>;

/// Expects the other gateways to have as many requests there as this one, corrected towards the
/// mean of the pool: the fewer requests this gateway has, the less its number at one instance says
/// about the others. The number of each gateway is taken as Poisson distributed with a mean that is
/// gamma distributed over the instances; the prediction for all gateways has to be three standard
/// deviations below the slots.
bool has_free_slot_by_pool(const known_load& known);

/// Expects each of the gateways to have as many requests there as this one, and allows for half of
/// the slots.
bool has_free_slot_by_own_requests(const known_load& known);

} // namespace jujubemast::gateway::instances
