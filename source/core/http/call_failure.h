#pragma once

#include <string>

#include "http/client.h"

namespace jujubemast::http {

/// Says for a log line why the result of a call is of no use: the fault of a call that ended
/// without an answer, otherwise the status of the answer.
std::string describe_failure(const call_result& result);

} // namespace jujubemast::http
