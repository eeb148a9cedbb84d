#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "gateway/configuration.h"

namespace jujubemast::gateway {

/// Returns the positions of the stages in an order in which each one follows those that it depends
/// on. The operator may list the stages in any order. Returns nothing if there is no such order,
/// because stages depend on each other in a cycle, or on one that does not exist.
std::optional<std::vector<std::size_t>> stage_order(const std::vector<stage_spec>& stages);

} // namespace jujubemast::gateway
