#pragma once

#include <string>
#include <vector>

#include "entry/request_flow.h"

namespace jujubemast::entry {

/// Returns the JSON document of a complete response.
std::string to_document(const std::string& request_id, const deliver_response& response);

/// Returns the JSON document of one chunk of a streamed response.
std::string to_document(const deliver_chunk& chunk);

} // namespace jujubemast::entry
