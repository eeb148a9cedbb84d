#include "ctl/ticket_commands.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/schema.h"

namespace jujubemast::ctl {

namespace {

// A conflict means that another operator was faster; the decision is then made anew.
constexpr int max_attempts = 10;

constexpr std::size_t number_width = 12;

/// Numbers are padded, so that rows are in the order of their numbers.
std::string ticket_key(std::uint64_t number) {
    const auto digits = std::to_string(number);
    return std::string(number_width - std::min(number_width, digits.size()), '0') + digits;
}

std::string read_file(const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        throw common::format_error{path + " cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

ticket_task::ticket_task(runtime::task_context context, ticket_request request, report_hook report)
    : m_context{std::move(context)}, m_request{std::move(request)}, m_report{std::move(report)},
      m_store{
          m_context,
          m_request.platform,
          {.head_timeout = std::chrono::seconds{5}, .progress_timeout = std::chrono::seconds{5}}},
      m_token{common::random_identifier(common::system_random())} {}

void ticket_task::start() {
    switch (m_request.command) {
    case ticket_command::create:
        create();
        return;
    case ticket_command::accept:
        accept();
        return;
    case ticket_command::in_force:
        show_in_force();
        return;
    }
}

void ticket_task::close() noexcept {
    m_store.close();
}

void ticket_task::finish(command_result result, std::string text) {
    m_report({result, std::move(text)});
}

platform::row_key ticket_task::ticket_row() const {
    return {tickets::tickets_table,
            ticket_key(std::strtoull(m_request.argument.c_str(), nullptr, 10))};
}

void ticket_task::create() {
    tickets::object_states objects;
    try {
        objects = tickets::parse_ticket_file(read_file(m_request.argument));
    } catch (const common::format_error& e) {
        finish(command_result::refused, e.what());
        return;
    }
    m_store.scan(tickets::tickets_table, "", [this, objects](const platform::rows_result& result) {
        create_with_number(objects, result);
    });
}

void ticket_task::create_with_number(const tickets::object_states& objects,
                                     const platform::rows_result& existing) {
    if (existing.status != platform::store_status::done) {
        finish(command_result::unavailable, "the platform's table service does not answer");
        return;
    }
    tickets::ticket added;
    added.number = existing.rows.empty()
                       ? 1
                       : tickets::ticket_from_json(existing.rows.back().value).number + 1;
    added.objects = objects;
    const platform::row_key target{tickets::tickets_table, ticket_key(added.number)};
    m_store.commit({{{target, 0}}, {{target, tickets::to_json(added)}}},
                   [this, number = added.number](platform::store_status status) {
                       if (status == platform::store_status::conflict &&
                           ++m_attempts < max_attempts) {
                           create();
                           return;
                       }
                       const bool done = status == platform::store_status::done;
                       finish(done ? command_result::done : command_result::unknown_outcome,
                              done ? "created ticket " + std::to_string(number)
                                   : "unknown whether the ticket was created; see ticket list");
                   });
}

void ticket_task::accept() {
    auto view = std::make_shared<tickets::acceptance_view>();
    const auto unavailable = [this] {
        finish(command_result::unavailable, "the platform's table service does not answer");
    };
    m_store.read({tickets::head_table, tickets::head_key},
                 [=, this](const platform::rows_result& head) {
                     if (head.status != platform::store_status::done) {
                         unavailable();
                         return;
                     }
                     view->head = head.rows.front();
                     m_store.read(ticket_row(), [=, this](const platform::rows_result& row) {
                         if (row.status != platform::store_status::done) {
                             unavailable();
                             return;
                         }
                         view->ticket = row.rows.front();
                         m_store.scan(tickets::objects_table, "",
                                      [=, this](const platform::rows_result& objects) {
                                          if (objects.status != platform::store_status::done) {
                                              unavailable();
                                              return;
                                          }
                                          view->objects = objects.rows;
                                          decide(*view);
                                      });
                     });
                 });
}

void ticket_task::decide(const tickets::acceptance_view& view) {
    const auto decision = tickets::plan_acceptance(view, m_token);
    if (const auto* refusal = std::get_if<tickets::acceptance_refusal>(&decision)) {
        finish(command_result::refused, "ticket refused: " + refusal->reason);
    } else if (const auto* accepted = std::get_if<tickets::already_accepted>(&decision)) {
        finish(command_result::done,
               "ticket is in force at revision " + std::to_string(accepted->revision));
    } else {
        commit(std::get<tickets::acceptance_plan>(decision));
    }
}

void ticket_task::commit(const tickets::acceptance_plan& plan) {
    m_store.commit(plan.work, [this, plan](platform::store_status status) {
        switch (status) {
        case platform::store_status::done:
            finish(command_result::done,
                   "ticket is in force at revision " + std::to_string(plan.revision));
            return;
        case platform::store_status::conflict:
            if (++m_attempts < max_attempts) {
                accept();
                return;
            }
            finish(command_result::refused, "other tickets were accepted at the same time");
            return;
        case platform::store_status::unavailable:
            finish(command_result::unavailable, "the platform's table service does not answer");
            return;
        case platform::store_status::unknown:
            settle(plan);
            return;
        }
    });
}

void ticket_task::settle(const tickets::acceptance_plan& plan) {
    m_store.read(ticket_row(), [this, plan](const platform::rows_result& result) {
        if (result.status != platform::store_status::done) {
            finish(command_result::unknown_outcome,
                   "unknown whether the ticket is in force; repeat the command to settle it");
            return;
        }
        const auto row = tickets::ticket_from_json(result.rows.front().value);
        if (row.token == m_token) {
            finish(command_result::done,
                   "ticket is in force at revision " + std::to_string(row.revision));
            return;
        }
        accept();
    });
}

void ticket_task::show_in_force() {
    m_store.read(
        {tickets::head_table, tickets::head_key}, [this](const platform::rows_result& result) {
            if (result.status != platform::store_status::done) {
                finish(command_result::unavailable, "the platform's table service does not answer");
                return;
            }
            finish(command_result::done, boost::json::serialize(result.rows.front().value));
        });
}

} // namespace jujubemast::ctl
