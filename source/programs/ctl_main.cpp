#include <iostream>
#include <memory>
#include <sstream>

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include "common/error.h"
#include "ctl/command_table.h"
#include "logging/logger.h"
#include "program/command_line.h"
#include "runtime/process.h"

DEFINE_string(platform, "127.0.0.1:9000", "address of the platform's table service");
DEFINE_string(entries, "", "comma-separated admin addresses of the entries; for ticket status");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_uint64(with, 0, "number of the superseding ticket; for ticket supersede");
DEFINE_bool(wait, false,
            "wait until the revision is in force on all live processes; for ticket status");
DEFINE_uint64(timeout_ms, 30000, "timeout of --wait in milliseconds");

namespace {

using namespace jujubemast;

int fail_usage(const std::string& error) {
    std::cerr << error << "\n\n" << ctl::usage_text();
    return static_cast<int>(ctl::command_result::usage);
}

ctl::invocation make_invocation(std::vector<std::string> arguments) {
    ctl::invocation call;
    call.arguments = std::move(arguments);
    call.platform = http::parse_endpoint(FLAGS_platform);
    std::istringstream list{FLAGS_entries};
    for (std::string it; std::getline(list, it, ',');) {
        call.entries.push_back(http::parse_endpoint(it));
    }
    call.with = FLAGS_with;
    call.wait = FLAGS_wait;
    call.timeout = std::chrono::milliseconds{FLAGS_timeout_ms};
    return call;
}

void print(const ctl::command_report& report, ctl::output_format format) {
    auto& stream = report.result == ctl::command_result::done ? std::cout : std::cerr;
    switch (format) {
    case ctl::output_format::text:
        stream << report.text << std::endl;
        return;
    case ctl::output_format::json: {
        // Scripts expect exactly one JSON document on standard output, even after a failure.
        auto data = report.data;
        if (report.result != ctl::command_result::done && data.is_object()) {
            data.as_object()["message"] = report.text;
        }
        std::cout << data << std::endl;
        return;
    }
    }
}

int run_command(const ctl::command_factory& make, const ctl::invocation& call,
                ctl::output_format format) {
    return runtime::run_process(
        "jujubemast-ctl", [&](const runtime::executor&, const runtime::process_hooks& process) {
            const auto report = [process, format](const ctl::command_report& it) {
                print(it, format);
                process.exit(static_cast<int>(it.result));
            };
            const auto start = [make, call, report](runtime::task_context context) {
                return make(std::move(context), call, report);
            };
            return std::vector<runtime::child_spec>{{"command", start}};
        });
}

} // namespace

int main(int argc, char** argv) {
    if (const auto code =
            program::parse_command_line(argc, argv, {"jujubemast-ctl", ctl::usage_text()})) {
        return *code;
    }
    try {
        logging::initialize("warn");
        const auto format = common::from_name<ctl::output_format>(FLAGS_output);
        if (!format) {
            return fail_usage("--output must be text or json");
        }
        const auto matched_command = ctl::match_command({argv + 1, argv + argc});
        if (!matched_command) {
            return fail_usage("unknown command or wrong arguments");
        }
        if (matched_command->description->name == ctl::command::ticket_supersede &&
            FLAGS_with == 0) {
            return fail_usage("ticket supersede needs --with");
        }
        return run_command(matched_command->description->make,
                           make_invocation(matched_command->arguments), *format);
    } catch (const common::error& e) {
        return fail_usage(e.what());
    }
}
