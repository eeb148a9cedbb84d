#include "entry/problem.h"

#include <boost/json.hpp>

namespace jujubemast::entry {

unsigned status_of(problem_kind kind) {
    switch (kind) {
    case problem_kind::malformed_request:
        return 400;
    case problem_kind::not_authenticated:
        return 401;
    case problem_kind::unknown_pipeline:
    case problem_kind::unknown_path:
        return 404;
    case problem_kind::request_in_progress:
    case problem_kind::unknown_outcome:
        return 409;
    case problem_kind::idempotency_conflict:
        return 422;
    case problem_kind::overloaded:
        return 429;
    case problem_kind::upstream_failed:
        return 502;
    case problem_kind::unavailable:
    case problem_kind::store_unavailable:
        return 503;
    case problem_kind::deadline_exceeded:
        return 504;
    }
    return 500;
}

std::string to_document(const problem& value) {
    const std::string name{common::to_name(value.kind)};
    boost::json::object document{{"type", "urn:jujubemast:problem:" + name},
                                 {"title", name},
                                 {"status", status_of(value.kind)},
                                 {"execution", common::to_name(value.execution)},
                                 {"detail", value.detail}};
    if (!value.request_id.empty()) {
        document["request_id"] = value.request_id;
    }
    return boost::json::serialize(document);
}

http::response to_response(const problem& value) {
    http::response response{
        status_of(value.kind), {{"Content-Type", "application/problem+json"}}, to_document(value)};
    if (value.retry_after_s > 0) {
        response.fields.push_back({"Retry-After", std::to_string(value.retry_after_s)});
    }
    if (value.kind == problem_kind::not_authenticated) {
        response.fields.push_back({"WWW-Authenticate", "Bearer"});
    }
    return response;
}

} // namespace jujubemast::entry
