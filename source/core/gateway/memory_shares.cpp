#include "gateway/memory_shares.h"

#include <limits>

#include <sys/sysinfo.h>

namespace jujubemast::gateway {

memory_shares divide_memory(std::size_t bytes) {
    return {.request_bodies = bytes / 4,
            .response_bodies = bytes / 8,
            .output = bytes / 8,
            .input = bytes / 16,
            .admin_output = bytes / 16,
            .connection = bytes / 8};
}

std::size_t machine_memory() {
    struct sysinfo info {};
    if (::sysinfo(&info) != 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

} // namespace jujubemast::gateway
