#pragma once

#include <string>

#include "http/client.h"

namespace jujubemast::http {

/// Describes for a log line why a call failed: the kind and detail of its error, or the status of
/// its response.
std::string describe_failure(const call_result& result);

} // namespace jujubemast::http
