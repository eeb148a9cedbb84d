#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "common/enum_names.h"
#include "common/random.h"
#include "platform/store.h"
#include "runtime/task.h"
#include "tickets/acceptance.h"

namespace jujubemast::ctl {

/// Exit codes of jujubemast-ctl.
enum class command_result { done, refused, usage, unavailable, unknown_outcome };

/// What a command prints and how it ends.
struct command_report {
    command_result result = command_result::done;
    std::string text;
};

/// Called once when the command has ended.
using report_hook = std::function<void(const command_report&)>;

/// The commands on tickets.
enum class ticket_command { create, accept, in_force };

struct ticket_request {
    ticket_command command = ticket_command::in_force;
    /// Path of the ticket's file, or number of the ticket.
    std::string argument;
    http::endpoint platform;
};

/// Runs one command on tickets against the platform's table service.
class ticket_task final : public runtime::task {
public:
    ticket_task(runtime::task_context context, ticket_request request, report_hook report);

    void start() override;
    void close() noexcept override;

private:
    void create();
    void create_with_number(const tickets::object_states& objects,
                            const platform::rows_result& existing);
    void accept();
    void decide(const tickets::acceptance_view& view);
    void commit(const tickets::acceptance_plan& plan);
    void settle(const tickets::acceptance_plan& plan);
    void show_in_force();
    void finish(command_result result, std::string text);
    [[nodiscard]] platform::row_key ticket_row() const;

    runtime::task_context m_context;
    ticket_request m_request;
    report_hook m_report;
    platform::store m_store;
    std::string m_token;
    int m_attempts = 0;
};

} // namespace jujubemast::ctl

namespace jujubemast::common {

template <>
struct enum_names<ctl::command_result> {
    static constexpr std::array<std::string_view, 5> table{"done", "refused", "usage",
                                                           "unavailable", "unknown_outcome"};
};

template <>
struct enum_names<ctl::ticket_command> {
    static constexpr std::array<std::string_view, 3> table{"create", "accept", "in-force"};
};

} // namespace jujubemast::common
