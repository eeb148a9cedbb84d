#pragma once

#include <set>
#include <string>
#include <vector>

namespace jujubemast::tests {

/// Returns the text of a file of the repository. Throws when there is none.
std::string read_source(const std::string& path);

/// Returns the cells of all table rows under a heading of a page whose first cell is in backquotes.
/// The backquotes of the first cell are left out.
std::vector<std::vector<std::string>> table_rows(const std::string& page,
                                                 const std::string& heading);

/// Returns the first cells of these rows.
std::set<std::string> first_cells(const std::vector<std::vector<std::string>>& rows);

} // namespace jujubemast::tests
