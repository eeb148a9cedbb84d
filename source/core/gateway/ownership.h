#pragma once

#include <string>
#include <vector>

namespace jujubemast::gateway {

/// A gateway that may own services.
struct owner_candidate {
    std::string name;
    /// Processor time of the gateway's instance, in cores.
    double processor_share = 1;
};

/// Returns the names of the gateways with at least half of the largest processor share. An owner
/// handles the orders of all gateways for its service, and a small instance would be too slow for
/// that.
std::vector<std::string> eligible_owners(const std::vector<owner_candidate>& candidates);

/// Chooses the owner of a service by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
/// Mappings to Increase Hit Rates", 1998). Gateways that know the same live gateways agree without
/// communication, and the loss of a gateway moves only the services that it owned. Returns an empty
/// string if there are no gateways.
std::string choose_owner(const std::string& service, const std::vector<std::string>& gateways);

} // namespace jujubemast::gateway
