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

// A conflict means that another operator was faster; the decision is then made anew.
constexpr int max_attempts = 100;

/// What differs between the changes.
struct change_kind {
    /// Words for a change that has taken effect and for one that has not.
    std::string effect;
    std::string refusal;
    /// The command that settles an unknown outcome.
    std::string settling_command;
    std::uint64_t ticket = 0;
    /// Returns the second ticket that the decision needs; zero for none.
    std::function<std::uint64_t(const tickets::ticket&)> other;
    tickets::change_hook plan;
    /// Returns the token of such a change in the ticket's row.
    std::function<std::string(const tickets::ticket&)> token;
};

/// Reads the rows, decides, writes, and settles a lost answer by the token.
class change_command final : public store_command {
public:
    change_command(runtime::task_context context, const invocation& call, report_hook report,
                   change_kind kind)
        : store_command{std::move(context), call, std::move(report)}, m_kind{std::move(kind)} {}

    void start() override { attempt(); }

private:
    void attempt() {
        m_view = {};
        read({tickets::head_table, tickets::head_key}, [this](const table_service::row& head) {
            m_view.head = head;
            read(ticket_row(m_kind.ticket), [this](const table_service::row& row) {
                m_view.ticket = row;
                read_other();
            });
        });
    }

    void read_other() {
        const auto other = m_view.ticket.value.is_null()
                               ? 0
                               : m_kind.other(tickets::ticket_from_json(m_view.ticket.value));
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
        const auto decision = m_kind.plan(m_view, m_token);
        if (const auto* refusal = std::get_if<tickets::change_refusal>(&decision)) {
            finish(command_result::refused, refusal_text(m_kind.refusal, *refusal),
                   refusal_data(*refusal));
        } else if (const auto* existing = std::get_if<tickets::already_applied>(&decision)) {
            took_effect(existing->revision);
        } else {
            write(std::get<tickets::change_plan>(decision));
        }
    }

    void write(const tickets::change_plan& plan) {
        commit(
            plan.transaction, [this, revision = plan.revision](table_service::store_status status) {
                switch (status) {
                case table_service::store_status::done:
                    took_effect(revision);
                    return;
                case table_service::store_status::conflict:
                    if (++m_attempts < max_attempts) {
                        attempt();
                        return;
                    }
                    finish(command_result::refused, "too many changes are made at the same time");
                    return;
                case table_service::store_status::unavailable:
                    finish_unavailable();
                    return;
                case table_service::store_status::unknown:
                    settle(revision);
                    return;
                }
            });
    }

    void settle(std::uint64_t revision) {
        try_read(
            ticket_row(m_kind.ticket), [this, revision](const table_service::rows_result& result) {
                if (result.status != table_service::store_status::done) {
                    finish(command_result::unknown_outcome, "unknown whether " + m_kind.effect +
                                                                "; settle it by: jujubemast-ctl " +
                                                                m_kind.settling_command);
                    return;
                }
                const auto& value = result.rows.front().value;
                if (!value.is_null() && m_kind.token(tickets::ticket_from_json(value)) == m_token) {
                    took_effect(revision);
                    return;
                }
                attempt();
            });
    }

    void took_effect(std::uint64_t revision) {
        const auto where =
            revision == 0 ? std::string{} : " at revision " + std::to_string(revision);
        finish(command_result::done, m_kind.effect + where,
               {{"ticket", m_kind.ticket}, {"revision", revision}});
    }

    change_kind m_kind;
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
        change_kind{"ticket " + number + " is in force", "ticket " + number + " not accepted",
                    "ticket accept " + number, number_of(call),
                    [](const tickets::ticket& /*change*/) { return std::uint64_t{0}; },
                    tickets::plan_acceptance, [](const tickets::ticket& it) { return it.token; }});
}

std::shared_ptr<runtime::task> make_supersede_command(runtime::task_context context,
                                                      const invocation& call, report_hook report) {
    const auto old_number = number_of(call);
    const auto names = std::to_string(old_number) + " --with " + std::to_string(call.with);
    return std::make_shared<change_command>(
        std::move(context), call, std::move(report),
        change_kind{
            "ticket " + std::to_string(old_number) + " is superseded by ticket " +
                std::to_string(call.with),
            "ticket " + std::to_string(old_number) + " not superseded", "ticket supersede " + names,
            call.with, [old_number](const tickets::ticket& /*change*/) { return old_number; },
            tickets::plan_supersession, [](const tickets::ticket& it) { return it.token; }});
}

std::shared_ptr<runtime::task> make_withdraw_command(runtime::task_context context,
                                                     const invocation& call, report_hook report) {
    const auto number = std::to_string(number_of(call));
    return std::make_shared<change_command>(
        std::move(context), call, std::move(report),
        change_kind{"ticket " + number + " is withdrawn", "ticket " + number + " not withdrawn",
                    "ticket withdraw " + number, number_of(call),
                    [](const tickets::ticket& change) { return change.supersedes; },
                    tickets::plan_withdrawal,
                    [](const tickets::ticket& it) { return it.end_token; }});
}

} // namespace jujubemast::ctl
