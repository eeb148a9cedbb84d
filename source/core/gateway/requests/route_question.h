#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gateway/caller_request.h"
#include "policy/routing.h"

namespace jujubemast::gateway::requests {

/// A request whose route is to be explained without sending it.
struct route_question {
    std::string host;
    std::string path;
    std::vector<prompt_part> prompt;
    /// Results of its stages by the failure domain that stores them.
    std::vector<policy::stored_bytes> results;
    /// Ids of instances that have failed it.
    std::vector<std::string> tried;
};

/// Decodes the query `host=H&path=P&prompt=ID:TOKENS,...&results=DOMAIN:BYTES,...&tried=ID,...`
/// with percent-encoded values; the last three are optional. Throws `common::format_error`.
route_question decode_route_question(std::string_view query);

} // namespace jujubemast::gateway::requests
