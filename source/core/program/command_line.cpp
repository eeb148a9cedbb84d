#include "program/command_line.h"

#include <iostream>
#include <string_view>

#include <gflags/gflags.h>

#include "settings/nearest_name.h"

namespace jujubemast::program {

namespace {

constexpr int exit_success = 0;
constexpr int exit_usage = 2;

/// Returns the flags that the program defines, without those of the gflags library itself.
std::vector<gflags::CommandLineFlagInfo> program_flags() {
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::erase_if(all, [](const gflags::CommandLineFlagInfo& it) {
        return it.filename.find("gflags") != std::string::npos;
    });
    return all;
}

void print_help(const command_line_description& description) {
    std::cout << description.name << ": " << description.usage << "\nFlags:\n";
    for (const auto& it : program_flags()) {
        std::cout << "  --" << it.name << " (" << it.type << ", default \"" << it.default_value
                  << "\"): " << it.description << "\n";
    }
    std::cout << "  --help: show this text\n  --version: show the version\n";
}

/// Returns the name of a flag argument such as "--name=value" or "-name".
std::string flag_name(std::string_view argument) {
    argument.remove_prefix(argument.find_first_not_of('-'));
    return std::string{argument.substr(0, argument.find('='))};
}

bool is_known_flag(const std::string& name) {
    std::string value;
    return gflags::GetCommandLineOption(name.c_str(), &value) ||
           (name.starts_with("no") && gflags::GetCommandLineOption(name.c_str() + 2, &value));
}

/// Prints an error and returns false when the flag is unknown.
bool check_flag(const std::string& name) {
    if (is_known_flag(name)) {
        return true;
    }
    std::vector<std::string> names{"help", "version"};
    for (const auto& it : program_flags()) {
        names.push_back(it.name);
    }
    const auto nearest = settings::nearest_name(name, names);
    std::cerr << "unknown flag --" << name
              << (nearest.empty() ? "" : "; did you mean --" + nearest + "?") << "\n";
    return false;
}

} // namespace

std::optional<int> parse_command_line(int& argc, char**& argv,
                                      const command_line_description& description) {
    for (int n = 1; n < argc; ++n) {
        const std::string_view argument{argv[n]};
        if (argument == "--") {
            break;
        }
        if (!argument.starts_with('-') || argument == "-") {
            continue;
        }
        const auto name = flag_name(argument);
        if (name == "help" || name == "h") {
            print_help(description);
            return exit_success;
        }
        if (name == "version") {
            std::cout << description.name << " " << project_version << "\n";
            return exit_success;
        }
        if (!check_flag(name)) {
            return exit_usage;
        }
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return std::nullopt;
}

} // namespace jujubemast::program
