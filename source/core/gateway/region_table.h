#pragma once

#include <map>
#include <string>

namespace jujubemast::gateway {

/// Region of each failure domain.
using region_table = std::map<std::string, std::string>;

/// Parses pairs of a failure domain and its region, such as `z1=r1, z2=r2` or
/// `{"z1": "r1", "z2": "r2"}`. Throws `common::format_error` if a pair is malformed or a failure
/// domain has two regions.
region_table parse_region_table(const std::string& text);

} // namespace jujubemast::gateway
