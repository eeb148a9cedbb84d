#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubemast::ctl {

/// A command, its arguments and its help text.
struct command_description {
    command name;
    std::string arguments;
    std::string help;
    std::size_t argument_count = 0;
    command_factory make;
    /// Whether the last argument may be given several times.
    bool variadic = false;
};

/// Returns all commands in the order of the help text.
const std::vector<command_description>& command_table();

/// Returns the text of --help, which lists the commands and the exit codes.
std::string usage_text();

/// A command found on the command line, with its arguments.
struct matched_command {
    const command_description* description = nullptr;
    std::vector<std::string> arguments;
};

/// Finds the command that the command line starts with. Returns nothing if the command is unknown
/// or its arguments are wrong.
std::optional<matched_command> match_command(const std::vector<std::string>& words);

} // namespace jujubemast::ctl
