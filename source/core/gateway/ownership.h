#pragma once

#include <string>
#include <vector>

namespace jujubemast::gateway {

/// A gateway that may own services.
struct owner_candidate {
    std::string name;
    /// Processor time that its instance has, in cores.
    double processor_share = 1;
};

/// Returns the names of those that have at least half of the largest processor share. An owner
/// handles the orders of all gateways for its service, which a small instance does too late.
std::vector<std::string> eligible_owners(const std::vector<owner_candidate>& candidates);

/// Chooses the owner of a service among gateways by rendezvous hashing (Thaler and Ravishankar,
/// "Using Name-Based Mappings to Increase Hit Rates", 1998): gateways that know the same live
/// gateways agree without messages, and the loss of one moves only its services. Returns an empty
/// string without gateways.
std::string choose_owner(const std::string& service, const std::vector<std::string>& gateways);

} // namespace jujubemast::gateway
