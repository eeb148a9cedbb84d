#include "gateway/descriptor_shares.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace jujubemast::gateway {

descriptor_shares divide_descriptors(std::size_t limit) {
    // Each request in progress may need a connection to an instance as well, so callers get a
    // third.
    constexpr std::size_t max_callers = 4096;
    constexpr std::size_t max_others = 64;
    constexpr std::size_t min_connections = 4;
    const auto others = std::clamp(limit / 16, min_connections, max_others);
    return {.callers = std::clamp(limit / 3, min_connections, max_callers),
            .ready = others,
            .admin = others,
            .refusals = std::clamp(limit / 48, min_connections, max_others)};
}

std::size_t descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace jujubemast::gateway
