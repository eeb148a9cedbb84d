#include "standins/stage_content.h"

#include <cstdio>

#include "common/digest.h"

namespace jujubemast::standins {

namespace {

std::string to_hex(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t digest_of_parts(std::string_view first, std::string_view second,
                              std::string_view third) {
    common::content_digest digest;
    for (const auto part : {first, second, third}) {
        digest.update(part);
        digest.update(std::string_view{"\0", 1});
    }
    return digest.value();
}

} // namespace

std::string service_output(std::string_view operation, std::string_view input,
                           std::string_view context) {
    return std::string{operation} + ":" + to_hex(digest_of_parts(operation, input, context));
}

std::string engine_token(std::string_view input, std::string_view context, std::uint64_t offset) {
    return to_hex(digest_of_parts(input, context, std::to_string(offset))).substr(0, 6) + " ";
}

std::string engine_output(std::string_view input, std::string_view context, std::uint64_t tokens) {
    std::string text;
    for (std::uint64_t n = 0; n < tokens; ++n) {
        text += engine_token(input, context, n);
    }
    return text;
}

} // namespace jujubemast::standins
