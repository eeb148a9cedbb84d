#pragma once

#include <string>
#include <vector>

#include "ctl/command.h"

namespace jujubemast::ctl {

/// Returns the request target for the arguments ADDRESS HOST PATH [NAME=VALUE...]. Throws
/// `common::error` if one of them is malformed.
std::string make_route_target(const std::vector<std::string>& arguments);

/// Formats the response of a gateway for human readers.
std::string to_route_text(const boost::json::value& explained);

/// Creates the command that explains where a request would go now at the gateway with a given admin
/// address.
std::shared_ptr<runtime::task> make_route_command(runtime::task_context context,
                                                  const invocation& call, report_hook report);

} // namespace jujubemast::ctl
