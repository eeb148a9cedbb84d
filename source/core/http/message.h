#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubemast::http {

struct header {
    std::string name;
    std::string value;
};

using headers = std::vector<header>;

/// Returns the value of the first header with this name (compared without case), or an empty view.
std::string_view find_header(const headers& fields, std::string_view name);

/// Returns about how much memory the fields take. Short ones take many times the bytes that they
/// have on the connection.
std::size_t memory_of(const headers& fields);

struct request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

struct response {
    unsigned status = 200;
    headers fields;
    std::string body;
};

/// Builds a response with a JSON body.
response json_response(unsigned status, std::string body);

/// Splits a request target into its path and its query string, without the question mark.
struct target_parts {
    std::string_view path;
    std::string_view query;
};
target_parts split_target(std::string_view target);

/// Splits a path at its slashes; empty segments are left out.
std::vector<std::string_view> path_segments(std::string_view path);

/// Returns the value of a query parameter, or an empty view. Values are not percent-decoded.
std::string_view query_value(std::string_view query, std::string_view name);

/// An address of the form "127.0.0.1:8080".
struct endpoint {
    std::string host;
    unsigned short port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses an IP address and port. Throws `common::format_error` for any other form.
endpoint parse_endpoint(std::string_view text);

std::string to_string(const endpoint& value);

} // namespace jujubemast::http
