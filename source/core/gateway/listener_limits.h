#pragma once

#include <memory>

#include "gateway/configuration.h"
#include "gateway/memory_shares.h"
#include "http/server.h"
#include "settings/settings.h"

namespace jujubemast::gateway {

/// Returns how the memory of the instance is divided.
memory_shares shares_of_memory(const settings::values& values);

/// Limits of the listener for callers.
http::server_limits caller_server_limits(const settings::values& values);

/// Returns the limits of requests of callers: those of the configuration, if it has any, and those
/// of the settings for the others.
http::request_limits limits_of_requests(const http::server_limits& limits,
                                        const configuration_pointer& current);

/// Limits of the listener for readiness checks, whose requests are small.
http::server_limits ready_server_limits();

/// Limits of the listener for operators.
http::server_limits admin_server_limits(const settings::values& values);

} // namespace jujubemast::gateway
