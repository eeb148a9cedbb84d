#include "gateway/memory_shares.h"

#include <limits>

#include <sys/sysinfo.h>

namespace jujubemast::gateway {

memory_shares divide_memory(std::size_t bytes) {
    return {bytes / 4, bytes / 8, bytes / 8};
}

std::size_t machine_memory() {
    struct sysinfo info {};
    if (::sysinfo(&info) != 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

} // namespace jujubemast::gateway
