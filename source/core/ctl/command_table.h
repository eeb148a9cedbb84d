#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubemast::ctl {

/// A command with what follows its name.
struct command_description {
    command name;
    std::string arguments;
    std::string help;
    std::size_t argument_count = 0;
    command_factory make;
    /// The last argument may be given several times.
    bool variadic = false;
};

/// All commands, in the order of the help text.
const std::vector<command_description>& command_table();

/// The text of --help: commands and exit codes.
std::string usage_text();

/// A command found on the command line, with its arguments.
struct matched_command {
    const command_description* description = nullptr;
    std::vector<std::string> arguments;
};

/// Finds the command whose words the command line starts with. Nothing for an unknown command or
/// a wrong number of arguments.
std::optional<matched_command> match_command(const std::vector<std::string>& words);

} // namespace jujubemast::ctl
