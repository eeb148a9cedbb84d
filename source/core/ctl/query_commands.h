#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

// Commands that read tickets and change nothing.

std::shared_ptr<runtime::task> make_list_command(runtime::task_context context,
                                                 const invocation& call, report_hook report);
std::shared_ptr<runtime::task> make_show_command(runtime::task_context context,
                                                 const invocation& call, report_hook report);
std::shared_ptr<runtime::task> make_diff_command(runtime::task_context context,
                                                 const invocation& call, report_hook report);
std::shared_ptr<runtime::task> make_in_force_command(runtime::task_context context,
                                                     const invocation& call, report_hook report);

} // namespace jujubemast::ctl
