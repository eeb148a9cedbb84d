#pragma once

#include <variant>

#include "entry/messages.h"
#include "entry/problem.h"
#include "http/message.h"

namespace jujubemast::entry {

/// Decodes a request to the callers' HTTP interface. Returns a problem if anything in it is
/// malformed.
std::variant<caller_request, problem> decode_caller_request(const http::request& message);

} // namespace jujubemast::entry
