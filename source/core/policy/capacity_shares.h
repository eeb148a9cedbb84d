#pragma once

#include <array>
#include <string>
#include <unordered_map>

namespace jujubemast::policy {

/// How the capacity of an overloaded upstream is divided among priorities and workspaces.
struct capacity_shares {
    /// Guaranteed share of the capacity for each priority, 0 to 1, measured by cost. Floors that
    /// add up to more than one are scaled down.
    std::array<double, 3> floors{};
    /// Weight of each workspace relative to the others of the same priority; 1 for those not
    /// listed.
    std::unordered_map<std::string, double> weights;
};

} // namespace jujubemast::policy
