#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "common/enum_names.h"
#include "common/types.h"
#include "http/message.h"

namespace jujubemast::entry {

/// Why a request failed or was refused. The names are the last part of the problem's type URI.
enum class problem_kind {
    malformed_request,
    not_authenticated,
    unknown_pipeline,
    unknown_path,
    deadline_exceeded,
    overloaded,
    upstream_failed,
    unavailable,
    idempotency_conflict,
    request_in_progress,
    store_unavailable,
    unknown_outcome
};

/// A refusal or failure as reported to a caller.
struct problem {
    problem_kind kind = problem_kind::unavailable;
    common::execution execution = common::execution::not_run;
    std::string detail;
    /// Seconds for Retry-After; zero leaves the header out.
    std::int64_t retry_after_s = 0;
    std::string request_id = {};
};

/// Returns the HTTP status of a problem.
unsigned status_of(problem_kind kind);

/// Returns the problem details document (RFC 9457) with the member "execution".
std::string to_document(const problem& value);

http::response to_response(const problem& value);

} // namespace jujubemast::entry

namespace jujubemast::common {

template <>
struct enum_names<entry::problem_kind> {
    static constexpr std::array<std::string_view, 12> table{
        "malformed_request",    "not_authenticated",   "unknown_pipeline",  "unknown_path",
        "deadline_exceeded",    "overloaded",          "upstream_failed",   "unavailable",
        "idempotency_conflict", "request_in_progress", "store_unavailable", "unknown_outcome"};
};

} // namespace jujubemast::common
