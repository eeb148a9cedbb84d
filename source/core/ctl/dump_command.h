#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Creates the command that prints the state dump of the process with a given admin address.
std::shared_ptr<runtime::task> make_dump_command(runtime::task_context context,
                                                 const invocation& call, report_hook report);

} // namespace jujubemast::ctl
