#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace jujubemast::policy {

/// A member of a pool as the choice of a subset sees it.
struct subset_member {
    std::string name;
    std::string failure_domain;
};

/// Chooses the members of one pool that an entry keeps links to. With every entry linked to every
/// upstream the heartbeats would grow with the product of both numbers. The choice is by rendezvous
/// hashing (Thaler and Ravishankar, 1998) over the entry's and the member's name, so that a change
/// of one member moves few links and all entries together cover the pool evenly. Half of the places
/// go to the entry's own failure domain where it has enough members. Returns indices in ascending
/// order; all of them when the pool is not larger than the subset.
std::vector<std::size_t> choose_subset(const std::string& entry, const std::string& failure_domain,
                                       const std::vector<subset_member>& members,
                                       std::size_t subset_size);

} // namespace jujubemast::policy
