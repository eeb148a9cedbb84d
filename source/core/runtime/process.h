#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/executor.h"
#include "runtime/supervisor.h"

namespace jujubemast::runtime {

/// Exit codes of the programs.
enum class exit_code { success = 0, usage = 2, failure = 70 };

/// Returns the state dump of the whole process.
using dump_hook = std::function<boost::json::value()>;

/// Operations on the process that its tasks can call.
struct process_hooks {
    dump_hook dump;
    /// Stops the supervisor tree in order and ends the process with this code.
    std::function<void(int code)> exit;
};

/// Builds the children of the root supervisor. When one fails, it and those after it are restarted.
using tree_builder = std::function<std::vector<child_spec>(const executor&, const process_hooks&)>;

/// Called on SIGHUP, when the settings file may have changed.
using reload_hook = std::function<void()>;

/// Runs a process until the ordered stop of its supervisor tree is complete, which SIGTERM, SIGINT
/// or a task requests, or until the root supervisor fails. Without a reload hook, SIGHUP terminates
/// the process. Returns the exit code of the program.
int run_process(const std::string& name, const tree_builder& build, const reload_hook& reload = {});

} // namespace jujubemast::runtime
