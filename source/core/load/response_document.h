#pragma once

#include <string>
#include <string_view>

#include "http/message.h"
#include "load/arrival_schedule.h"
#include "load/outcome.h"

namespace jujubemast::load {

/// Returns the HTTP request for a planned request. The identifier of the run makes idempotency keys
/// unique among runs.
http::request encode_request(const planned_request& request, const std::string& run);

/// Reads the document of a complete answer. Throws `common::format_error` for any other text.
response_content decode_response(std::string_view text);

/// What problem details say about a request that got no answer.
struct problem_content {
    std::string name;
    request_result result = request_result::unknown;
};

/// Reads problem details. Text that is no such document gives the result `unknown` and a name with
/// the status of the response.
problem_content decode_problem(std::string_view text, unsigned status);

} // namespace jujubemast::load
