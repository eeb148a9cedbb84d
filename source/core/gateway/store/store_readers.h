#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gateway/ownership.h"

namespace jujubemast::gateway::store {

/// Number of gateways in each failure domain that follow the store. A second one makes the failure
/// of the first unnoticeable.
inline constexpr std::size_t store_readers_per_domain = 2;

/// Chooses the gateways of one failure domain that follow the changes of the store and pass them on
/// to the others of the domain. They are the first by rendezvous hashing, those with much processor
/// time before the others, so gateways that know the same live gateways agree without messages. If
/// they do not agree, some gateways read the store although they need not, or receive changes
/// twice.
std::vector<std::string> choose_store_readers(const std::vector<owner_candidate>& gateways,
                                              std::size_t count = store_readers_per_domain);

} // namespace jujubemast::gateway::store
