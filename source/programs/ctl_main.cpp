#include <iostream>
#include <memory>

#include <gflags/gflags.h>

#include "common/error.h"
#include "ctl/ticket_commands.h"
#include "logging/logger.h"
#include "program/command_line.h"
#include "runtime/process.h"

DEFINE_string(platform, "127.0.0.1:9000", "address of the platform's service");

namespace {

using namespace jujubemast;

constexpr const char* usage = "the operator's program\n\n"
                              "Commands:\n"
                              "  ticket create FILE   stores a ticket and prints its number\n"
                              "  ticket accept N      brings a ticket into force\n"
                              "  ticket in-force      shows the revision in force\n";

int run_ticket_command(const ctl::ticket_request& request) {
    return runtime::run_process(
        "jujubemast-ctl", [&](const runtime::executor&, const runtime::process_hooks& process) {
            const auto report = [process](const ctl::command_report& it) {
                (it.result == ctl::command_result::done ? std::cout : std::cerr)
                    << it.text << std::endl;
                process.exit(static_cast<int>(it.result));
            };
            const auto make = [request, report](runtime::task_context context) {
                return std::make_shared<ctl::ticket_task>(std::move(context), request, report);
            };
            return std::vector<runtime::child_spec>{{"command", make}};
        });
}

} // namespace

int main(int argc, char** argv) {
    if (const auto code = program::parse_command_line(argc, argv, {"jujubemast-ctl", usage})) {
        return *code;
    }
    try {
        logging::initialize("warn");
        const std::vector<std::string> arguments{argv + 1, argv + argc};
        const auto command = arguments.size() > 1
                                 ? common::from_name<ctl::ticket_command>(arguments[1])
                                 : std::nullopt;
        if (!command || arguments[0] != "ticket") {
            std::cerr << usage;
            return static_cast<int>(ctl::command_result::usage);
        }
        return run_ticket_command({*command, arguments.size() > 2 ? arguments[2] : std::string{},
                                   http::parse_endpoint(FLAGS_platform)});
    } catch (const common::error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(ctl::command_result::usage);
    }
}
