#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/object.hpp>

#include "http/server.h"

namespace jujubemast::standins {

/// An HTTP request for the task of a stand-in.
struct http_call {
    std::uint64_t id = 0;
    http::request request;
    http::responder reply;
};

/// The caller of an HTTP request has closed its connection.
struct client_disconnected {
    std::uint64_t id = 0;
};

using service_message = std::variant<http_call, client_disconnected>;

/// Describes a server that passes every request to the task of a stand-in. Call ids start at 1.
runtime::child_spec make_forwarding_server(const std::string& name, const http::endpoint& listen,
                                           runtime::address<service_message> target);

/// Parses a JSON object; returns an empty object for anything else.
boost::json::object parse_object(const std::string& text);

/// Returns a whole number of an object, or the default.
std::int64_t integer_member(const boost::json::object& object, std::string_view key,
                            std::int64_t fallback);

/// Returns a string of an object, or an empty one.
std::string string_member(const boost::json::object& object, std::string_view key);

} // namespace jujubemast::standins
