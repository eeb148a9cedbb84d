#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "common/time.h"

namespace jujubemast::http {

/// Sets the options of every connection: no delay of small segments, and keep-alive probes that
/// find a peer that has gone silent within about 4 s. Faults are ignored, because the connection
/// works without them.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has neither closed nor sent anything. An idle connection with bytes to
/// read carries an answer to no request.
bool is_idle(boost::asio::ip::tcp::socket& socket);

/// Returns the time that a Keep-Alive header field states, or nothing when it states none.
std::optional<common::duration> parse_keep_alive_timeout(std::string_view field);

} // namespace jujubemast::http
