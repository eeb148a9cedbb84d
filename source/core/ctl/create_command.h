#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Creates the command that stores the ticket of a file after validating it against the
/// configuration in force.
std::shared_ptr<runtime::task> make_create_command(runtime::task_context context,
                                                   const invocation& call, report_hook report);

} // namespace jujubemast::ctl
