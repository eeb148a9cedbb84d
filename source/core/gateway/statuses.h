#pragma once

namespace jujubemast::gateway {

// Status codes that the gateway sends or checks (RFC 9110, section 15).
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_first_error = 500;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

} // namespace jujubemast::gateway
