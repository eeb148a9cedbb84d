#include "program/daemon.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include <gflags/gflags.h>

#include "common/error.h"
#include "logging/logger.h"
#include "program/command_line.h"
#include "program/log_flusher.h"

DEFINE_string(settings, "", "path of the YAML settings file");
DEFINE_bool(check, false, "check the settings file and exit");

namespace jujubemast::program {

namespace {

settings::values load_settings(const daemon_description& description) {
    if (FLAGS_settings.empty()) {
        throw common::settings_error{"--settings is required"};
    }
    auto values = settings::load(description.settings_table, FLAGS_settings);
    if (description.check) {
        description.check(values);
    }
    logging::initialize(values.get(description.log_level), logging::output::standard_output);
    return values;
}

/// Reads the settings file again. Only a new log level takes effect in a running process; other
/// changes are logged and take effect at the next start.
void reload_settings(const daemon_description& description, const settings::values& initial) {
    const logging::logger log{"process"};
    try {
        const auto reloaded = settings::load(description.settings_table, FLAGS_settings);
        logging::initialize(reloaded.get(description.log_level), logging::output::standard_output);
        std::string names;
        for (const auto& it : reloaded.changed_names(initial)) {
            names += names.empty() ? it : "," + it;
        }
        log.info("Settings read again.", {{"changed_since_start", names}});
    } catch (const common::settings_error& e) {
        log.error("Reloading the settings failed; the current ones stay in effect.",
                  {{"reason", e.what()}});
    }
}

std::shared_ptr<runtime::task> make_log_flusher(runtime::task_context context) {
    return std::make_shared<log_flusher>(std::move(context));
}

/// Runs the daemon and returns its exit code.
int run(int argc, char** argv, const daemon_description& description) {
    const auto usage =
        description.summary + "\n\nSettings:\n" + settings::describe(description.settings_table);
    if (const auto code = parse_command_line(argc, argv, {description.name, usage})) {
        return *code;
    }
    settings::values values;
    try {
        values = load_settings(description);
    } catch (const common::settings_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(runtime::exit_code::usage);
    }
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return static_cast<int>(runtime::exit_code::success);
    }
    return runtime::run_process(
        description.name,
        [&](const runtime::executor& loop, const runtime::process_hooks& process) {
            std::vector<runtime::child_spec> children{{"log", make_log_flusher}};
            for (auto& it : description.make_tree(loop, process, values)) {
                children.push_back(std::move(it));
            }
            return children;
        },
        [&] { reload_settings(description, values); });
}

/// Flushes the output and ends the process without running the destructors of static objects. The
/// destructor of log4cplus waits without a timeout for threads that the library started before
/// main; when these do not run, the process would hang until it is killed.
[[noreturn]] void end_process(int code) {
    logging::flush();
    std::cout.flush();
    std::fflush(nullptr);
    std::quick_exit(code);
}

} // namespace

void run_daemon(int argc, char** argv, const daemon_description& description) {
    // SIGHUP is ignored until the settings are loaded: there is nothing to reload yet.
    static_cast<void>(std::signal(SIGHUP, SIG_IGN));
    end_process(run(argc, argv, description));
}

} // namespace jujubemast::program
