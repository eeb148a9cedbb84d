#pragma once

#include <string>
#include <vector>

#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// A member of an object that differs. An empty `before` or `after` means that the member does not
/// exist on that side.
struct difference {
    std::string object;
    std::string member;
    std::string before;
    std::string after;
};

/// Lists the members that differ between two states of the same objects.
std::vector<difference> compare(const object_states& before, const object_states& after);

} // namespace jujubemast::tickets
