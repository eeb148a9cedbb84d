#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "http/message.h"

namespace jujubemast::tests {

/// Sends one request on a new connection and waits for the complete response. Throws
/// std::runtime_error if the connection fails, the body is truncated or the call times out.
http::response call(const std::string& address, const http::request& request,
                    std::chrono::seconds timeout = std::chrono::seconds{30});

/// The received part of a response, which may be incomplete.
struct received_response {
    unsigned status = 0;
    std::string body;
    /// Whether the response ended as HTTP requires. False if it was truncated.
    bool complete = false;
};

/// Like `call`, but returns an incomplete response instead of throwing. `on_body` is called with
/// the whole body received so far whenever a part of it arrives.
received_response receive(const std::string& address, const http::request& request,
                          const std::function<void(const std::string&)>& on_body = {},
                          std::chrono::seconds timeout = std::chrono::seconds{30});

} // namespace jujubemast::tests
