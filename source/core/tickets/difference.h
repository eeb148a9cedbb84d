#pragma once

#include <string>
#include <vector>

#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// A member of an object that differs; an empty text stands for an absent member.
struct difference {
    std::string object;
    std::string member;
    std::string before;
    std::string after;
};

/// Lists the members that differ between two states of the same objects.
std::vector<difference> compare(const object_states& before, const object_states& after);

} // namespace jujubemast::tickets
