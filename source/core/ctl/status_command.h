#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Tells on how many live processes a ticket is in force, and names those that lag. It may wait
/// until none does.
std::shared_ptr<runtime::task> make_status_command(runtime::task_context context,
                                                   const invocation& call, report_hook report);

} // namespace jujubemast::ctl
