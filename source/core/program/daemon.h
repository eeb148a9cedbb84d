#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/process.h"
#include "settings/settings.h"

namespace jujubemast::program {

/// Builds the supervisor tree of a daemon from its settings.
using daemon_tree = std::function<std::vector<runtime::child_spec>(
    const runtime::executor&, const runtime::process_hooks&, const settings::values&)>;

/// The name, settings and supervisor tree of a daemon.
struct daemon_description {
    std::string name;
    std::string summary;
    const settings::table& settings_table;
    const settings::setting<std::string>& log_level;
    daemon_tree make_tree;
    /// Throws `common::settings_error` if settings contradict each other. May be empty.
    std::function<void(const settings::values&)> check = {};
};

/// The main function of a daemon: reads the command line and the settings file, then runs the
/// supervisor tree. Ends the process with the exit code.
[[noreturn]] void run_daemon(int argc, char** argv, const daemon_description& description);

} // namespace jujubemast::program
