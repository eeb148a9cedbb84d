#pragma once

#include <variant>

#include "entry/messages.h"
#include "entry/problem.h"
#include "http/message.h"

namespace jujubemast::entry {

/// Decodes a call of the interface for callers. Returns a problem for anything that is malformed.
std::variant<caller_request, problem> decode_caller_request(const http::request& message);

} // namespace jujubemast::entry
