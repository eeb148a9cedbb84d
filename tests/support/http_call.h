#pragma once

#include <chrono>
#include <string>

#include "http/message.h"

namespace jujubemast::tests {

/// Sends one request on a new connection and waits for the whole response. Throws
/// std::runtime_error when the connection fails, the body is cut off or the time is over.
http::response call(const std::string& address, const http::request& request,
                    std::chrono::seconds timeout = std::chrono::seconds{30});

} // namespace jujubemast::tests
