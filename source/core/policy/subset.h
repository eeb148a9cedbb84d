#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace jujubemast::policy {

/// A pool member to choose from.
struct subset_member {
    std::string name;
    std::string failure_domain;
};

/// Chooses the members of one pool that an entry keeps links to. If every entry had a link to every
/// upstream, the number of heartbeats would grow with the product of both counts. The choice uses
/// rendezvous hashing (Thaler and Ravishankar, 1998) over the names of entry and member, so that a
/// change of one member moves few links and all entries together cover the pool evenly. Half of the
/// subset is taken from the entry's own failure domain if it has enough members. Returns the
/// indices in ascending order; all of them if the pool is not larger than the subset.
std::vector<std::size_t> choose_subset(const std::string& entry, const std::string& failure_domain,
                                       const std::vector<subset_member>& members,
                                       std::size_t subset_size);

} // namespace jujubemast::policy
