#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/object.hpp>

#include "http/server.h"

namespace jujubemast::standins {

/// An HTTP request, sent to the task of a stand-in.
struct http_call {
    std::uint64_t id = 0;
    http::request request;
    http::responder reply;
};

/// The client of an HTTP request has closed its connection.
struct client_disconnected {
    std::uint64_t id = 0;
};

using service_message = std::variant<http_call, client_disconnected>;

/// Returns the specification of a server task that forwards every request to the task of a
/// stand-in. Call ids start at 1.
runtime::child_spec make_forwarding_server(const std::string& name, const http::endpoint& listen,
                                           runtime::address<service_message> target);

/// Parses a JSON object. Returns an empty object for any other text.
boost::json::object parse_object(const std::string& text);

/// Returns the number under the key as an integer, or `fallback` if there is none.
std::int64_t integer_member(const boost::json::object& object, std::string_view key,
                            std::int64_t fallback);

/// Returns the string under the key, or an empty string if there is none.
std::string string_member(const boost::json::object& object, std::string_view key);

} // namespace jujubemast::standins
