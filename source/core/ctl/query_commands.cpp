#include "ctl/query_commands.h"

#include <utility>

#include <boost/json.hpp>

#include "ctl/store_command.h"
#include "ctl/yaml_output.h"
#include "tickets/change.h"
#include "tickets/difference.h"
#include "tickets/schema.h"

namespace jujubemast::ctl {

namespace {

/// Returns the ticket's row without the tokens, which are of no use to an operator.
boost::json::object without_tokens(const boost::json::value& row) {
    auto result = row.as_object();
    for (const auto* key : {"creation_token", "token", "end_token"}) {
        result.erase(key);
    }
    return result;
}

class list_command final : public store_command {
public:
    using store_command::store_command;

    void start() override {
        scan(tickets::tickets_table, [this](const std::vector<table_service::row>& rows) {
            std::string text;
            boost::json::array list;
            for (const auto& it : rows) {
                const auto change = tickets::ticket_from_json(it.value);
                text +=
                    "ticket " + std::to_string(change.number) + " " +
                    std::string{common::to_name(change.state)} +
                    (change.revision == 0 ? "" : " revision " + std::to_string(change.revision)) +
                    " objects " + std::to_string(change.objects.size()) + "\n";
                list.push_back(boost::json::object{{"ticket", change.number},
                                                   {"state", common::to_name(change.state)},
                                                   {"revision", change.revision},
                                                   {"objects", change.objects.size()}});
            }
            if (!text.empty()) {
                text.pop_back();
            }
            finish(command_result::done, text, {{"tickets", std::move(list)}});
        });
    }
};

class show_command final : public store_command {
public:
    using store_command::store_command;

    void start() override {
        read(ticket_row(ticket_number()), [this](const table_service::row& row) {
            if (row.value.is_null()) {
                finish(command_result::refused, "there is no such ticket");
                return;
            }
            const auto visible = without_tokens(row.value);
            finish(command_result::done, to_yaml(visible), {{"ticket", visible}});
        });
    }
};

/// Compares a ticket that was not accepted with the objects in force, and an accepted ticket with
/// the states that it replaced.
class diff_command final : public store_command {
public:
    using store_command::store_command;

    void start() override {
        read(ticket_row(ticket_number()), [this](const table_service::row& row) {
            if (row.value.is_null()) {
                finish(command_result::refused, "there is no such ticket");
                return;
            }
            const auto change = tickets::ticket_from_json(row.value);
            if (change.revision != 0) {
                print(change, change.previous);
                return;
            }
            scan(tickets::objects_table,
                 [this, change](const std::vector<table_service::row>& rows) {
                     print(change, tickets::records_of(rows));
                 });
        });
    }

private:
    void print(const tickets::ticket& change, const tickets::object_records& records) {
        tickets::object_states before;
        for (const auto& [name, state] : change.objects) {
            if (const auto it = records.find(name); it != records.end()) {
                before.emplace(name, it->second.state);
            }
        }
        std::string text;
        boost::json::array list;
        for (const auto& it : tickets::compare(before, change.objects)) {
            const auto value_or_absent = [](const std::string& value) {
                return value.empty() ? std::string{"(absent)"} : value;
            };
            text += (text.empty() ? "" : "\n") + it.object + " " + it.member + ": " +
                    value_or_absent(it.before) + " -> " + value_or_absent(it.after);
            list.push_back(boost::json::object{{"object", it.object},
                                               {"member", it.member},
                                               {"before", it.before},
                                               {"after", it.after}});
        }
        finish(command_result::done, text.empty() ? "no difference" : text,
               {{"differences", std::move(list)}});
    }
};

class in_force_command final : public store_command {
public:
    using store_command::store_command;

    void start() override {
        read({tickets::head_table, tickets::head_key}, [this](const table_service::row& head) {
            scan(tickets::objects_table, [this, head](const std::vector<table_service::row>& rows) {
                print(tickets::head_revision(head), tickets::records_of(rows));
            });
        });
    }

private:
    void print(std::uint64_t revision, const tickets::object_records& records) {
        auto text = "revision " + std::to_string(revision);
        boost::json::array list;
        for (const auto& [name, it] : records) {
            const bool removed = it.state.is_null();
            text += "\n" + name + (removed ? " removed by ticket " : " ticket ") +
                    std::to_string(it.ticket) + " since revision " + std::to_string(it.revision);
            list.push_back(boost::json::object{{"object", name},
                                               {"ticket", it.ticket},
                                               {"revision", it.revision},
                                               {"removed", removed}});
        }
        finish(command_result::done, text, {{"revision", revision}, {"objects", std::move(list)}});
    }
};

} // namespace

std::shared_ptr<runtime::task> make_list_command(runtime::task_context context,
                                                 const invocation& call, report_hook report) {
    return std::make_shared<list_command>(std::move(context), call, std::move(report));
}

std::shared_ptr<runtime::task> make_show_command(runtime::task_context context,
                                                 const invocation& call, report_hook report) {
    return std::make_shared<show_command>(std::move(context), call, std::move(report));
}

std::shared_ptr<runtime::task> make_diff_command(runtime::task_context context,
                                                 const invocation& call, report_hook report) {
    return std::make_shared<diff_command>(std::move(context), call, std::move(report));
}

std::shared_ptr<runtime::task> make_in_force_command(runtime::task_context context,
                                                     const invocation& call, report_hook report) {
    return std::make_shared<in_force_command>(std::move(context), call, std::move(report));
}

} // namespace jujubemast::ctl
