#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Creates the command that prints on how many live processes a ticket is in force and which ones
/// lag. With --wait it waits until no process lags or the timeout expires.
std::shared_ptr<runtime::task> make_status_command(runtime::task_context context,
                                                   const invocation& call, report_hook report);

} // namespace jujubemast::ctl
