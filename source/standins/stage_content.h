#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubemast::standins {

/// The output that a stand-in service gives for this input and context.
std::string service_output(std::string_view operation, std::string_view input,
                           std::string_view context);

/// The token that a stand-in engine generates at this offset, with a trailing space.
std::string engine_token(std::string_view input, std::string_view context, std::uint64_t offset);

/// The whole output of a stand-in engine.
std::string engine_output(std::string_view input, std::string_view context, std::uint64_t tokens);

} // namespace jujubemast::standins
