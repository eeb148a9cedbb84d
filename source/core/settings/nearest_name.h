#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jujubemast::settings {

/// Returns the candidate with the smallest edit distance to the name, or an empty string when none
/// is closer than half of the name's length.
std::string nearest_name(std::string_view name, const std::vector<std::string>& candidates);

} // namespace jujubemast::settings
