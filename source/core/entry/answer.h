#pragma once

#include <string>
#include <vector>

#include "entry/request_flow.h"

namespace jujubemast::entry {

/// Returns the JSON document of a complete answer.
std::string to_document(const std::string& request_id, const deliver_answer& answer);

/// Returns the JSON document of one piece of a streamed answer.
std::string to_document(const deliver_piece& piece);

} // namespace jujubemast::entry
