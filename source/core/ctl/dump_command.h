#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Prints the state dump of the process with this admin address.
std::shared_ptr<runtime::task> make_dump_command(runtime::task_context context,
                                                 const invocation& call, report_hook report);

} // namespace jujubemast::ctl
