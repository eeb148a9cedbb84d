#include "http/call_failure.h"

namespace jujubemast::http {

std::string describe_failure(const call_result& result) {
    if (const auto* error = std::get_if<call_error>(&result)) {
        return std::string{common::to_name(error->kind)} + ": " + error->detail;
    }
    return "status " + std::to_string(std::get<response>(result).status);
}

} // namespace jujubemast::http
