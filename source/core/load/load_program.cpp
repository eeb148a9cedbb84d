#include "load/load_program.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

#include <gflags/gflags.h>

#include "common/error.h"
#include "load/prober.h"
#include "load/reporter.h"
#include "load/sender.h"
#include "load/verification.h"
#include "logging/logger.h"
#include "program/command_line.h"
#include "runtime/process.h"

DEFINE_string(experiment, "", "path of the YAML experiment file");
DEFINE_string(entries, "", "addresses of the entries, separated by commas");
DEFINE_string(result, "", "path of the JSON result file; if empty, no file is written");
DEFINE_int64(seed, 0, "seed that replaces the one of the experiment file, unless it is 0");

namespace jujubemast::load {

namespace {

constexpr std::size_t mailbox_capacity = std::size_t{1024} * 1024;

constexpr const char* usage =
    "sends the requests of an experiment file at their scheduled times, without waiting for\n"
    "responses (open loop), and reports the results. Latency counts from the scheduled send time.";

std::vector<http::endpoint> parse_entries(const std::string& text) {
    std::vector<http::endpoint> result;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        result.push_back(http::parse_endpoint(part));
    }
    if (result.empty()) {
        throw common::settings_error{"--entries is required"};
    }
    return result;
}

std::shared_ptr<const experiment> read_experiment() {
    if (FLAGS_experiment.empty()) {
        throw common::settings_error{"--experiment is required"};
    }
    auto result = std::make_shared<experiment>(load_experiment(FLAGS_experiment));
    if (FLAGS_seed != 0) {
        result->seed = static_cast<std::uint64_t>(FLAGS_seed);
    }
    return result;
}

void write_report(const run_report& report) {
    std::cout << report.table << std::flush;
    if (FLAGS_result.empty()) {
        return;
    }
    std::ofstream file{FLAGS_result};
    file << report.json << std::flush;
    if (!file) {
        throw common::error{FLAGS_result + " cannot be written"};
    }
}

std::vector<runtime::child_spec> make_load_tree(const runtime::executor& loop,
                                                const runtime::process_hooks& process,
                                                const std::shared_ptr<const experiment>& source,
                                                const std::vector<http::endpoint>& entries,
                                                const verify_hook& verify) {
    const auto reporter_inbox = runtime::make_mailbox<reporter_message>(loop, mailbox_capacity);
    const auto sender_inbox = runtime::make_mailbox<sender_message>(loop, mailbox_capacity);
    const auto report = [process](const run_report& it) {
        write_report(it);
        process.exit(static_cast<int>(runtime::exit_code::success));
    };
    std::vector<runtime::child_spec> children;
    children.push_back({"reporter", [=](runtime::task_context context) {
                            return std::make_shared<reporter>(std::move(context), reporter_inbox,
                                                              source, report);
                        }});
    children.push_back(
        {"sender", [=, started = std::make_shared<bool>(false)](runtime::task_context context) {
             if (std::exchange(*started, true)) {
                 throw common::error{"a measurement cannot be resumed after a failure"};
             }
             return std::make_shared<sender>(std::move(context), sender_inbox,
                                             runtime::address<reporter_message>{reporter_inbox},
                                             source, entries, sender_hooks{verify});
         }});
    children.push_back({"prober", [=](runtime::task_context context) {
                            return std::make_shared<prober>(
                                std::move(context), entries,
                                runtime::address<sender_message>{sender_inbox});
                        }});
    return children;
}

} // namespace

int run_load_program(int argc, char** argv, const verify_hook& verify) {
    if (const auto code = program::parse_command_line(argc, argv, {"jujubemast-load", usage})) {
        return *code;
    }
    try {
        logging::initialize("info");
        const auto source = read_experiment();
        const auto entries = parse_entries(FLAGS_entries);
        auto check = make_consistency_check();
        if (verify) {
            check = combine(std::move(check), verify);
        }
        return runtime::run_process("jujubemast-load", [&](const runtime::executor& loop,
                                                           const runtime::process_hooks& process) {
            return make_load_tree(loop, process, source, entries, check);
        });
    } catch (const common::error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(runtime::exit_code::usage);
    }
}

} // namespace jujubemast::load
