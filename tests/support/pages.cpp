#include "support/pages.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace jujubemast::tests {

std::string read_source(const std::string& path) {
    const std::ifstream file{JUJUBEMAST_SOURCE_DIR "/" + path};
    if (!file) {
        throw std::runtime_error{path + " cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::vector<std::string>> table_rows(const std::string& page,
                                                 const std::string& heading) {
    std::vector<std::vector<std::string>> rows;
    std::istringstream input{page};
    bool inside = false;
    for (std::string line; std::getline(input, line);) {
        if (line.starts_with('#')) {
            inside = line == heading;
        }
        if (!inside || !line.starts_with("| `")) {
            continue;
        }
        std::vector<std::string> cells;
        for (std::size_t at = 2; at < line.size();) {
            const auto end = line.find(" |", at);
            cells.push_back(line.substr(at, end - at));
            at = end == std::string::npos ? line.size() : end + 3;
        }
        auto& name = cells.front();
        name = name.substr(1, name.find('`', 1) - 1);
        rows.push_back(std::move(cells));
    }
    return rows;
}

std::set<std::string> first_cells(const std::vector<std::vector<std::string>>& rows) {
    std::set<std::string> names;
    for (const auto& it : rows) {
        names.insert(it.front());
    }
    return names;
}

} // namespace jujubemast::tests
