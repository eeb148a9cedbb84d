#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

// Commands that change the configuration or the state of a ticket.

std::shared_ptr<runtime::task> make_accept_command(runtime::task_context context,
                                                   const invocation& call, report_hook report);
std::shared_ptr<runtime::task> make_supersede_command(runtime::task_context context,
                                                      const invocation& call, report_hook report);
std::shared_ptr<runtime::task> make_withdraw_command(runtime::task_context context,
                                                     const invocation& call, report_hook report);

} // namespace jujubemast::ctl
