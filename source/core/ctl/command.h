#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "common/enum_names.h"
#include "http/message.h"
#include "runtime/task.h"

namespace jujubemast::ctl {

/// How a command ended. The values are the exit codes of jujubemast-ctl.
enum class command_result { done, refused, usage, unavailable, unknown_outcome, lagging };

/// The format in which a report is printed.
enum class output_format { text, json };

/// The commands of jujubemast-ctl.
enum class command {
    ticket_create,
    ticket_list,
    ticket_show,
    ticket_diff,
    ticket_accept,
    ticket_supersede,
    ticket_withdraw,
    ticket_in_force,
    ticket_status,
    dump,
    explain,
    route
};

/// The output and the result of a command.
struct command_report {
    command_result result = command_result::done;
    std::string text;
    boost::json::value data;
};

/// Called once when the command ends.
using report_hook = std::function<void(const command_report&)>;

/// The arguments and flags of a command.
struct invocation {
    std::vector<std::string> arguments;
    http::endpoint platform;
    /// Admin addresses of the entries.
    std::vector<http::endpoint> entries;
    /// The ticket number given by --with; zero for none.
    std::uint64_t with = 0;
    bool wait = false;
    std::chrono::milliseconds timeout{30000};
};

/// Creates the task that runs a command. The task calls the report hook once.
using command_factory = std::function<std::shared_ptr<runtime::task>(
    runtime::task_context, const invocation&, report_hook)>;

} // namespace jujubemast::ctl

namespace jujubemast::common {

template <>
struct enum_names<ctl::command_result> {
    static constexpr std::array<std::string_view, 6> table{
        "done", "refused", "usage", "unavailable", "unknown_outcome", "lagging"};
};

template <>
struct enum_names<ctl::output_format> {
    static constexpr std::array<std::string_view, 2> table{"text", "json"};
};

template <>
struct enum_names<ctl::command> {
    static constexpr std::array<std::string_view, 12> table{"ticket create",   "ticket list",
                                                            "ticket show",     "ticket diff",
                                                            "ticket accept",   "ticket supersede",
                                                            "ticket withdraw", "ticket in-force",
                                                            "ticket status",   "dump",
                                                            "explain",         "route"};
};

} // namespace jujubemast::common
