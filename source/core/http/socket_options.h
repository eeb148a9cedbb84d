#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "common/time.h"

namespace jujubemast::http {

/// Sets the options of every connection: TCP_NODELAY, and keep-alive probes that detect an
/// unreachable peer within about 4 s. Errors are ignored, because the connection works without
/// these options.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has neither closed the connection nor sent bytes. Bytes on an idle
/// connection belong to no request.
bool is_idle(boost::asio::ip::tcp::socket& socket);

/// Returns the timeout in a Keep-Alive header field, or nothing when the field has none.
std::optional<common::duration> parse_keep_alive_timeout(std::string_view field);

} // namespace jujubemast::http
