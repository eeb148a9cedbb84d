#include "ctl/change_command.h"

#include <utility>

#include <boost/json.hpp>

#include "common/random.h"
#include "ctl/refusal_text.h"
#include "ctl/store_command.h"
#include "tickets/acceptance.h"
#include "tickets/schema.h"
#include "tickets/withdrawal.h"

namespace jujubemast::ctl {

namespace {

// After a conflict with a concurrent change, the rows are read and the decision is made again.
constexpr int max_attempts = 100;

/// What differs between the commands that change the configuration.
struct change_operation {
    /// Messages for a change that has taken effect and for one that was refused.
    std::string success_text;
    std::string refusal_summary;
    /// The command that an operator runs again after an unknown outcome.
    std::string recovery_command;
    std::uint64_t ticket = 0;
    /// Returns the number of the second ticket that the decision needs, or zero for none.
    std::function<std::uint64_t(const tickets::ticket&)> other_ticket;
    tickets::change_hook plan;
    /// Returns the token that this operation stores in the ticket's row.
    std::function<std::string(const tickets::ticket&)> token_of;
};

/// Reads the rows, decides on the change and commits it. After a lost response, the token in the
/// ticket's row shows whether the change took effect.
class change_command final : public store_command {
public:
    change_command(runtime::task_context context, const invocation& call, report_hook report,
                   change_operation operation)
        : store_command{std::move(context), call, std::move(report)}, m_operation{
                                                                          std::move(operation)} {}

    void start() override { start_attempt(); }

private:
    void start_attempt() {
        m_view = {};
        read({tickets::head_table, tickets::head_key}, [this](const table_service::row& head) {
            m_view.head = head;
            read(ticket_row(m_operation.ticket), [this](const table_service::row& row) {
                m_view.ticket = row;
                read_other();
            });
        });
    }

    void read_other() {
        const auto other =
            m_view.ticket.value.is_null()
                ? 0
                : m_operation.other_ticket(tickets::ticket_from_json(m_view.ticket.value));
        if (other == 0) {
            read_objects();
            return;
        }
        read(ticket_row(other), [this](const table_service::row& row) {
            m_view.other = row;
            read_objects();
        });
    }

    void read_objects() {
        scan(tickets::objects_table, [this](const std::vector<table_service::row>& objects) {
            m_view.objects = objects;
            decide();
        });
    }

    void decide() {
        const auto decision = m_operation.plan(m_view, m_token);
        if (const auto* refusal = std::get_if<tickets::change_refusal>(&decision)) {
            finish(command_result::refused, refusal_text(m_operation.refusal_summary, *refusal),
                   refusal_data(*refusal));
        } else if (const auto* existing = std::get_if<tickets::already_applied>(&decision)) {
            report_success(existing->revision);
        } else {
            commit_plan(std::get<tickets::change_plan>(decision));
        }
    }

    void commit_plan(const tickets::change_plan& plan) {
        commit(plan.transaction,
               [this, revision = plan.revision](table_service::store_status status) {
                   switch (status) {
                   case table_service::store_status::done:
                       report_success(revision);
                       return;
                   case table_service::store_status::conflict:
                       if (++m_attempts < max_attempts) {
                           start_attempt();
                           return;
                       }
                       finish(command_result::refused, "too many concurrent changes");
                       return;
                   case table_service::store_status::unavailable:
                       finish_unavailable();
                       return;
                   case table_service::store_status::unknown:
                       resolve_unknown_outcome(revision);
                       return;
                   }
               });
    }

    void resolve_unknown_outcome(std::uint64_t revision) {
        try_read(ticket_row(m_operation.ticket),
                 [this, revision](const table_service::rows_result& result) {
                     if (result.status != table_service::store_status::done) {
                         finish(command_result::unknown_outcome,
                                "unknown whether " + m_operation.success_text +
                                    "; to resolve this, run: jujubemast-ctl " +
                                    m_operation.recovery_command);
                         return;
                     }
                     const auto& value = result.rows.front().value;
                     if (!value.is_null() &&
                         m_operation.token_of(tickets::ticket_from_json(value)) == m_token) {
                         report_success(revision);
                         return;
                     }
                     start_attempt();
                 });
    }

    void report_success(std::uint64_t revision) {
        const auto where =
            revision == 0 ? std::string{} : " at revision " + std::to_string(revision);
        finish(command_result::done, m_operation.success_text + where,
               {{"ticket", m_operation.ticket}, {"revision", revision}});
    }

    change_operation m_operation;
    tickets::change_view m_view;
    std::string m_token = common::random_identifier(common::system_random());
    int m_attempts = 0;
};

std::uint64_t number_of(const invocation& call) {
    return std::strtoull(call.arguments.front().c_str(), nullptr, 10);
}

} // namespace

std::shared_ptr<runtime::task> make_accept_command(runtime::task_context context,
                                                   const invocation& call, report_hook report) {
    const auto number = std::to_string(number_of(call));
    return std::make_shared<change_command>(
        std::move(context), call, std::move(report),
        change_operation{"ticket " + number + " is in force", "ticket " + number + " not accepted",
                         "ticket accept " + number, number_of(call),
                         [](const tickets::ticket& /*change*/) { return std::uint64_t{0}; },
                         tickets::plan_acceptance,
                         [](const tickets::ticket& it) { return it.token; }});
}

std::shared_ptr<runtime::task> make_supersede_command(runtime::task_context context,
                                                      const invocation& call, report_hook report) {
    const auto old_number = number_of(call);
    const auto arguments = std::to_string(old_number) + " --with " + std::to_string(call.with);
    return std::make_shared<change_command>(
        std::move(context), call, std::move(report),
        change_operation{"ticket " + std::to_string(old_number) + " is superseded by ticket " +
                             std::to_string(call.with),
                         "ticket " + std::to_string(old_number) + " not superseded",
                         "ticket supersede " + arguments, call.with,
                         [old_number](const tickets::ticket& /*change*/) { return old_number; },
                         tickets::plan_supersession,
                         [](const tickets::ticket& it) { return it.token; }});
}

std::shared_ptr<runtime::task> make_withdraw_command(runtime::task_context context,
                                                     const invocation& call, report_hook report) {
    const auto number = std::to_string(number_of(call));
    return std::make_shared<change_command>(
        std::move(context), call, std::move(report),
        change_operation{
            "ticket " + number + " is withdrawn", "ticket " + number + " not withdrawn",
            "ticket withdraw " + number, number_of(call),
            [](const tickets::ticket& change) { return change.supersedes; },
            tickets::plan_withdrawal, [](const tickets::ticket& it) { return it.end_token; }});
}

} // namespace jujubemast::ctl
