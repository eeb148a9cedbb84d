#include "entry/caller_request.h"

#include <charconv>
#include <string_view>

#include <boost/json.hpp>

namespace jujubemast::entry {

namespace {

constexpr std::uint32_t default_max_tokens = 64;
constexpr std::uint32_t max_tokens_limit = 32768;
constexpr std::size_t max_identifier_length = 128;

/// Maps an RFC 9218 urgency, which runs from 0 to 7 with the default 3, to a priority.
std::optional<common::priority> parse_priority(std::string_view text) {
    constexpr std::string_view prefix = "u=";
    if (!text.starts_with(prefix) || text.size() < 3 || text[2] < '0' || text[2] > '7') {
        return std::nullopt;
    }
    const int urgency = text[2] - '0';
    if (urgency <= 2) {
        return common::priority::urgent;
    }
    return urgency <= 4 ? common::priority::standard : common::priority::background;
}

std::optional<std::int64_t> parse_positive(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    return value;
}

problem malformed(std::string detail) {
    return {problem_kind::malformed_request, common::execution::not_run, std::move(detail)};
}

bool is_valid_identifier(std::string_view text) {
    return text.size() <= max_identifier_length &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
                                  "-_.:") == std::string_view::npos;
}

std::optional<problem> read_body(const std::string& body, caller_request& out) {
    boost::system::error_code ec;
    const auto value = boost::json::parse(body, ec);
    const auto* object = ec ? nullptr : value.if_object();
    if (object == nullptr) {
        return malformed("the body is not a JSON object");
    }
    const auto* input = object->if_contains("input");
    if (input == nullptr || !input->is_string()) {
        return malformed("the body needs the string member input");
    }
    out.input = std::string{input->as_string()};
    out.max_tokens = default_max_tokens;
    if (const auto* tokens = object->if_contains("max_tokens")) {
        const auto n = tokens->is_int64() ? tokens->as_int64() : 0;
        if (n < 1 || n > max_tokens_limit) {
            return malformed("max_tokens must be a whole number from 1 to 32768");
        }
        out.max_tokens = static_cast<std::uint32_t>(n);
    }
    if (const auto* stream = object->if_contains("stream")) {
        if (!stream->is_bool()) {
            return malformed("stream must be true or false");
        }
        out.stream = stream->as_bool();
    }
    return std::nullopt;
}

std::optional<problem> read_headers(const http::headers& fields, caller_request& out) {
    constexpr std::string_view scheme = "Bearer ";
    const auto authorization = http::find_header(fields, "Authorization");
    if (!authorization.starts_with(scheme)) {
        return problem{problem_kind::not_authenticated, common::execution::not_run,
                       "the header Authorization with a bearer key is missing"};
    }
    out.key = authorization.substr(scheme.size());
    if (const auto text = http::find_header(fields, "X-Request-Timeout-Ms"); !text.empty()) {
        const auto timeout = parse_positive(text);
        if (!timeout || *timeout > 3600000) {
            return malformed("X-Request-Timeout-Ms must be a number from 1 to 3600000");
        }
        out.timeout = std::chrono::milliseconds{*timeout};
    }
    if (const auto text = http::find_header(fields, "Priority"); !text.empty()) {
        out.priority = parse_priority(text);
        if (!out.priority) {
            return malformed("Priority must be u=0 to u=7");
        }
    }
    out.request_id = http::find_header(fields, "X-Request-Id");
    out.idempotency_key = http::find_header(fields, "Idempotency-Key");
    out.trace_parent = http::find_header(fields, "traceparent");
    if (!is_valid_identifier(out.request_id) || !is_valid_identifier(out.idempotency_key) ||
        !is_valid_identifier(out.trace_parent)) {
        return malformed("identifiers in headers are limited to 128 letters, digits and -_.:");
    }
    return std::nullopt;
}

} // namespace

std::variant<caller_request, problem> decode_caller_request(const http::request& message) {
    const auto segments = http::path_segments(http::split_target(message.target).path);
    if (segments.size() != 4 || segments[0] != "v1" || segments[1] != "pipelines" ||
        segments[3] != "requests" || message.method != "POST") {
        return problem{problem_kind::unknown_path, common::execution::not_run,
                       "requests go to POST /v1/pipelines/{pipeline}/requests"};
    }
    caller_request request;
    request.pipeline = segments[2];
    if (auto error = read_headers(message.fields, request)) {
        return *error;
    }
    if (auto error = read_body(message.body, request)) {
        return *error;
    }
    return request;
}

} // namespace jujubemast::entry
