#pragma once

#include <functional>
#include <string>

#include "ctl/command.h"
#include "runtime/task.h"
#include "table_service/store.h"

namespace jujubemast::ctl {

/// Base class of the commands that use the platform's table service. A read without a response ends
/// the command with the result `unavailable`.
class store_command : public runtime::task {
public:
    store_command(runtime::task_context context, invocation call, report_hook report);

    void close() noexcept override;

protected:
    void read(const table_service::row_key& target,
              std::function<void(const table_service::row&)> on_row);
    void scan(const std::string& table,
              std::function<void(const std::vector<table_service::row>&)> on_rows);
    void commit(const table_service::transaction& transaction,
                std::function<void(table_service::store_status)> done);

    /// Reads a row without ending the command if there is no response.
    void try_read(const table_service::row_key& target,
                  std::function<void(const table_service::rows_result&)> on_result);

    void finish(command_result result, std::string text, boost::json::object data = {});
    void finish_unavailable();

    /// Returns the ticket number in the first argument.
    [[nodiscard]] std::uint64_t ticket_number() const;
    static table_service::row_key ticket_row(std::uint64_t number);

    [[nodiscard]] const invocation& call() const { return m_call; }
    [[nodiscard]] const runtime::task_context& context() const { return m_context; }

private:
    runtime::task_context m_context;
    invocation m_call;
    report_hook m_report;
    table_service::store m_store;
};

} // namespace jujubemast::ctl
