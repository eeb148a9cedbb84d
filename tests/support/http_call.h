#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "http/message.h"

namespace jujubemast::tests {

/// Sends one request on a new connection and waits for the whole response. Throws
/// std::runtime_error when the connection fails, the body is cut off or the time is over.
http::response call(const std::string& address, const http::request& request,
                    std::chrono::seconds timeout = std::chrono::seconds{30});

/// What a caller has received of an answer, whole or not.
struct received_response {
    unsigned status = 0;
    std::string body;
    /// The answer ended as HTTP demands. False when it was cut off.
    bool complete = false;
};

/// Like `call`, but a failure ends the answer instead of throwing. `on_body` is called with all of
/// the body so far whenever some arrives.
received_response receive(const std::string& address, const http::request& request,
                          const std::function<void(const std::string&)>& on_body = {},
                          std::chrono::seconds timeout = std::chrono::seconds{30});

} // namespace jujubemast::tests
