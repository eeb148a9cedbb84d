#include "ctl/command_table.h"

#include <algorithm>
#include <sstream>

#include "ctl/change_command.h"
#include "ctl/create_command.h"
#include "ctl/dump_command.h"
#include "ctl/explain_command.h"
#include "ctl/query_commands.h"
#include "ctl/route_command.h"
#include "ctl/status_command.h"

namespace jujubemast::ctl {

namespace {

struct exit_code_help {
    command_result code;
    std::string_view meaning;
};

constexpr std::array<exit_code_help, 6> exit_codes{
    {{command_result::done, "the command is done, or was done before"},
     {command_result::refused, "refused, and nothing was changed; the reasons are printed"},
     {command_result::usage, "wrong command line"},
     {command_result::unavailable, "the service does not answer; nothing was changed"},
     {command_result::unknown_outcome, "the answer was lost; the printed command settles it"},
     {command_result::lagging, "the ticket is not yet in force on all live processes"}}};

std::string padded(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

bool is_number(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](unsigned char it) { return std::isdigit(it) != 0; });
}

} // namespace

const std::vector<command_description>& command_table() {
    static const std::vector<command_description> table{
        {command::ticket_create, "FILE", "validates and stores a ticket, and prints its number", 1,
         make_create_command},
        {command::ticket_list, "", "lists all tickets", 0, make_list_command},
        {command::ticket_show, "N", "prints a ticket", 1, make_show_command},
        {command::ticket_diff, "N", "prints what a ticket changes", 1, make_diff_command},
        {command::ticket_accept, "N", "brings a ticket into force", 1, make_accept_command},
        {command::ticket_supersede, "N --with M", "ticket M takes over all objects of ticket N", 1,
         make_supersede_command},
        {command::ticket_withdraw, "N", "withdraws a ticket; if it is in force, by a new revision",
         1, make_withdraw_command},
        {command::ticket_in_force, "", "prints the revision and the ticket of each object", 0,
         make_in_force_command},
        {command::ticket_status, "N [--wait]",
         "prints on how many live processes a ticket is in force", 1, make_status_command},
        {command::dump, "ADDRESS", "prints the state of the process with this admin address", 1,
         make_dump_command},
        {command::explain, "ID FILE...",
         "explains from log files how the request with this attempt id ended", 2,
         make_explain_command, true},
        {command::route, "ADDRESS HOST PATH [NAME=VALUE...]",
         "explains where a gateway would send a request now; prompt=ID:TOKENS,... "
         "results=DOMAIN:BYTES,... tried=ID,...",
         3, make_route_command, true}};
    return table;
}

std::string usage_text() {
    constexpr std::size_t width = 30;
    std::string text = "the command-line tool for operators\n\nCommands:\n";
    for (const auto& it : command_table()) {
        text += "  " + padded(std::string{common::to_name(it.name)} + " " + it.arguments, width) +
                it.help + "\n";
    }
    text += "\nExit codes:\n";
    for (const auto& it : exit_codes) {
        text += "  " + std::to_string(static_cast<int>(it.code)) + "  " +
                padded(std::string{common::to_name(it.code)}, 17) + std::string{it.meaning} + "\n";
    }
    return text + "\nEvery command can be repeated safely.\n";
}

std::optional<matched_command> match_command(const std::vector<std::string>& words) {
    for (const auto& it : command_table()) {
        std::istringstream name{std::string{common::to_name(it.name)}};
        auto next = words.begin();
        bool matches = true;
        for (std::string word; name >> word;) {
            matches = matches && next != words.end() && *next == word;
            next += next != words.end() ? 1 : 0;
        }
        if (!matches) {
            continue;
        }
        matched_command found{&it, {next, words.end()}};
        const bool wants_number = it.arguments.starts_with('N');
        const auto count = found.arguments.size();
        const bool fits = it.variadic ? count >= it.argument_count : count == it.argument_count;
        const bool valid = fits && (!wants_number || is_number(found.arguments.front()));
        return valid ? std::optional{found} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace jujubemast::ctl
