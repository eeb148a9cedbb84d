#pragma once

#include <string>
#include <vector>

#include "runtime/process.h"
#include "standins/service_messages.h"

namespace jujubemast::standins {

/// Creates the task of one stand-in.
using service_factory = std::function<std::shared_ptr<runtime::task>(
    runtime::task_context, std::shared_ptr<runtime::mailbox<service_message>>)>;

/// Parses the flags and runs `--count` stand-ins in this process. Each has its own server, on
/// consecutive ports that begin with the port of `--listen`, or on ephemeral ports if that is 0.
/// Returns the exit code.
int run_host(int argc, char** argv, const std::string& name, const service_factory& make_service);

} // namespace jujubemast::standins
