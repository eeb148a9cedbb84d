#pragma once

#include <string>
#include <string_view>

#include "http/message.h"
#include "load/arrival_schedule.h"
#include "load/outcome.h"

namespace jujubemast::load {

/// Returns the HTTP request for a planned request. The run's identifier is part of the idempotency
/// keys, so that they differ between runs.
http::request encode_request(const planned_request& request, const std::string& run_id);

/// Parses the JSON document of a complete response. Throws `common::format_error` for other text.
response_content decode_response(std::string_view text);

/// Content of a problem document, the response to a request that was refused or failed.
struct problem_content {
    std::string name;
    request_result result = request_result::unknown;
};

/// Parses a problem document. For other text the result is `unknown`, and the name contains the
/// status code of the response.
problem_content decode_problem(std::string_view text, unsigned status);

} // namespace jujubemast::load
