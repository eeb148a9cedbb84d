#pragma once

#include <string>
#include <string_view>

#include "protocol/messages.h"

namespace jujubemast::wire {

/// Version of the protocol between entry and sidecar that this build implements.
inline constexpr unsigned protocol_version = 1;

/// Oldest version that this build accepts.
inline constexpr unsigned minimum_protocol_version = 1;

/// Encodes a message as protobuf.
std::string encode(const protocol::message& message);

/// Decodes a message. Throws `common::format_error` if the bytes are malformed, an enum value is
/// out of range or the version is below the minimum.
protocol::message decode(std::string_view bytes);

} // namespace jujubemast::wire
