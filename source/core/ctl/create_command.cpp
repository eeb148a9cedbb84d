#include "ctl/create_command.h"

#include <fstream>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "common/random.h"
#include "ctl/refusal_text.h"
#include "ctl/store_command.h"
#include "tickets/creation.h"
#include "tickets/schema.h"

namespace jujubemast::ctl {

namespace {

// After a conflict with a concurrent creation, which has taken the number, the rows are read and
// the decision is made again.
constexpr int max_attempts = 100;

std::string read_file(const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        throw common::format_error{path + " cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

class create_command final : public store_command {
public:
    using store_command::store_command;

    void start() override {
        try {
            m_objects = tickets::parse_ticket_file(read_file(call().arguments.front()));
        } catch (const common::format_error& e) {
            finish(command_result::refused, e.what());
            return;
        }
        start_attempt();
    }

private:
    void start_attempt() {
        m_view = {};
        read({tickets::head_table, tickets::last_number_key},
             [this](const table_service::row& number) {
                 m_view.last_number = number;
                 scan(tickets::objects_table,
                      [this](const std::vector<table_service::row>& objects) {
                          m_view.objects = objects;
                          read_content();
                      });
             });
    }

    void read_content() {
        const auto key = tickets::content_key(m_objects, tickets::records_of(m_view.objects));
        read({tickets::contents_table, key}, [this](const table_service::row& content) {
            m_view.content = content;
            const auto* reference = content.value.if_object();
            if (reference == nullptr) {
                decide();
                return;
            }
            read(ticket_row(reference->at("number").to_number<std::uint64_t>()),
                 [this](const table_service::row& row) {
                     m_view.same_content = row;
                     decide();
                 });
        });
    }

    void decide() {
        const auto decision = tickets::plan_creation(m_view, m_objects, m_token);
        if (const auto* refusal = std::get_if<tickets::change_refusal>(&decision)) {
            finish(command_result::refused, refusal_text("ticket not created", *refusal),
                   refusal_data(*refusal));
        } else if (const auto* existing = std::get_if<tickets::already_created>(&decision)) {
            report_success(existing->number);
        } else {
            commit_plan(std::get<tickets::creation_plan>(decision));
        }
    }

    void commit_plan(const tickets::creation_plan& plan) {
        commit(plan.transaction, [this, number = plan.number](table_service::store_status status) {
            switch (status) {
            case table_service::store_status::done:
                report_success(number);
                return;
            case table_service::store_status::conflict:
                if (++m_attempts < max_attempts) {
                    start_attempt();
                    return;
                }
                finish(command_result::refused, "too many concurrent creations of tickets");
                return;
            case table_service::store_status::unavailable:
                finish_unavailable();
                return;
            case table_service::store_status::unknown:
                resolve_unknown_outcome(number);
                return;
            }
        });
    }

    void resolve_unknown_outcome(std::uint64_t number) {
        try_read(ticket_row(number), [this, number](const table_service::rows_result& result) {
            if (result.status != table_service::store_status::done) {
                finish(command_result::unknown_outcome,
                       "unknown whether ticket " + std::to_string(number) +
                           " was created; to resolve this, run: jujubemast-ctl ticket create " +
                           call().arguments.front());
                return;
            }
            const auto& value = result.rows.front().value;
            if (!value.is_null() && tickets::ticket_from_json(value).creation_token == m_token) {
                report_success(number);
                return;
            }
            start_attempt();
        });
    }

    void report_success(std::uint64_t number) {
        finish(command_result::done, "created ticket " + std::to_string(number),
               {{"ticket", number}});
    }

    tickets::object_states m_objects;
    tickets::creation_view m_view;
    std::string m_token = common::random_identifier(common::system_random());
    int m_attempts = 0;
};

} // namespace

std::shared_ptr<runtime::task> make_create_command(runtime::task_context context,
                                                   const invocation& call, report_hook report) {
    return std::make_shared<create_command>(std::move(context), call, std::move(report));
}

} // namespace jujubemast::ctl
