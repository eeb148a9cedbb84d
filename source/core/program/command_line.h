#pragma once

#include <optional>
#include <string>
#include <vector>

namespace jujubemast::program {

/// Version of the whole project.
inline constexpr const char* project_version = "0.1.0";

struct command_line_description {
    std::string name;
    std::string usage;
};

/// Parses the flags that gflags knows and removes them from the arguments. Returns an exit code
/// when the program must exit at once: after --help, --version or an unknown flag, which is
/// reported with the nearest known one.
std::optional<int> parse_command_line(int& argc, char**& argv,
                                      const command_line_description& description);

} // namespace jujubemast::program
