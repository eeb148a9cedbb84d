#include "ctl/store_command.h"

#include <utility>

#include <boost/json.hpp>

#include "tickets/schema.h"

namespace jujubemast::ctl {

store_command::store_command(runtime::task_context context, invocation call, report_hook report)
    : m_context{std::move(context)}, m_call{std::move(call)}, m_report{std::move(report)},
      m_store{m_context,
              m_call.platform,
              {.head_timeout = std::chrono::seconds{5},
               .progress_timeout = std::chrono::seconds{5},
               .total_timeout = std::chrono::seconds{15}}} {}

void store_command::close() noexcept {
    m_store.close();
}

void store_command::try_read(const table_service::row_key& target,
                             std::function<void(const table_service::rows_result&)> on_result) {
    m_store.read(target, std::move(on_result));
}

void store_command::read(const table_service::row_key& target,
                         std::function<void(const table_service::row&)> on_row) {
    m_store.read(target,
                 [this, on_row = std::move(on_row)](const table_service::rows_result& result) {
                     if (result.status != table_service::store_status::done) {
                         finish_unavailable();
                         return;
                     }
                     on_row(result.rows.front());
                 });
}

void store_command::scan(const std::string& table,
                         std::function<void(const std::vector<table_service::row>&)> on_rows) {
    m_store.scan(table, "",
                 [this, on_rows = std::move(on_rows)](const table_service::rows_result& result) {
                     if (result.status != table_service::store_status::done) {
                         finish_unavailable();
                         return;
                     }
                     on_rows(result.rows);
                 });
}

void store_command::commit(const table_service::transaction& transaction,
                           std::function<void(table_service::store_status)> done) {
    m_store.commit(transaction, std::move(done));
}

void store_command::finish(command_result result, std::string text, boost::json::object data) {
    data["result"] = common::to_name(result);
    m_report({result, std::move(text), std::move(data)});
}

void store_command::finish_unavailable() {
    finish(command_result::unavailable,
           "the platform's table service does not answer; nothing was changed, and the command can "
           "be repeated");
}

std::uint64_t store_command::ticket_number() const {
    return std::strtoull(m_call.arguments.front().c_str(), nullptr, 10);
}

table_service::row_key store_command::ticket_row(std::uint64_t number) {
    return {tickets::tickets_table, tickets::ticket_row_key(number)};
}

} // namespace jujubemast::ctl
