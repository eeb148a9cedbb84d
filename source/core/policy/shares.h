#pragma once

#include <array>
#include <string>
#include <unordered_map>

namespace jujubemast::policy {

/// How the capacity of an upstream is divided while more is asked of it than it can do.
struct shares {
    /// Share of the capacity by cost that other priorities cannot take, 0 to 1, by priority. Floors
    /// that add up to more than one are scaled down.
    std::array<double, 3> floors{};
    /// Share relative to the other workspaces of the same priority; one for those not listed.
    std::unordered_map<std::string, double> weights;
};

} // namespace jujubemast::policy
