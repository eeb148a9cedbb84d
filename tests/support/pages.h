#pragma once

#include <set>
#include <string>
#include <vector>

namespace jujubemast::tests {

/// Returns the text of a file of the repository. Throws std::runtime_error if it cannot be read.
std::string read_source(const std::string& path);

/// Returns the cells of the table rows under a heading of a Markdown page. Only rows whose first
/// cell is in backquotes are returned, without these backquotes.
std::vector<std::vector<std::string>> table_rows(const std::string& page,
                                                 const std::string& heading);

/// Returns the first cell of each row.
std::set<std::string> first_cells(const std::vector<std::vector<std::string>>& rows);

} // namespace jujubemast::tests
