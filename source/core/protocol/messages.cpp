#include "protocol/messages.h"

namespace jujubemast::protocol {

work_identity identity_of(const message& content) {
    return std::visit(
        [](const auto& it) -> work_identity {
            if constexpr (requires { it.identity; }) {
                return it.identity;
            } else {
                return {};
            }
        },
        content);
}

} // namespace jujubemast::protocol
