#pragma once

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Creates the command that explains from log files how a request ended. It calls no service.
std::shared_ptr<runtime::task> make_explain_command(const runtime::task_context& context,
                                                    const invocation& call, report_hook report);

} // namespace jujubemast::ctl
