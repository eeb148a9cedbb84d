#pragma once

#include <string>
#include <vector>

namespace jujubemast::gateway {

/// Chooses the owner of a service among gateways by rendezvous hashing (Thaler and Ravishankar,
/// "Using Name-Based Mappings to Increase Hit Rates", 1998): gateways that know the same live
/// gateways agree without messages, and the loss of one moves only its services. Returns an empty
/// string without gateways.
std::string choose_owner(const std::string& service, const std::vector<std::string>& gateways);

} // namespace jujubemast::gateway
