#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubemast::standins {

/// Returns the output of a stand-in service for this input and context.
std::string service_output(std::string_view operation, std::string_view input,
                           std::string_view context);

/// Returns the token that a stand-in engine generates at this offset, with a trailing space.
std::string engine_token(std::string_view input, std::string_view context, std::uint64_t offset);

/// Returns the complete output of a stand-in engine.
std::string engine_output(std::string_view input, std::string_view context, std::uint64_t tokens);

} // namespace jujubemast::standins
