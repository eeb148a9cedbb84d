#include "policy/shared_limit.h"

#include <algorithm>
#include <cstdint>

#include "common/digest.h"

namespace jujubemast::policy {

std::vector<std::size_t> divide_limit(std::size_t limit, std::size_t instances,
                                      const share_holder& holder) {
    std::vector<std::size_t> permits(instances);
    if (instances == 0) {
        return permits;
    }
    const auto divided = static_cast<std::size_t>(static_cast<double>(limit) * divided_share);
    const auto own =
        std::max<std::size_t>(1, instances * divided / std::max<std::size_t>(1, holder.count));
    // The permits of all processes are numbered in the order of the processes and dealt to the
    // instances in turn, so each instance gets the same number of them.
    const auto every_instance = own / instances;
    std::fill(permits.begin(), permits.end(), every_instance);
    const auto first = holder.rank * own;
    for (auto n = every_instance * instances; n < own; ++n) {
        ++permits[(first + n) % instances];
    }
    return permits;
}

share_holder find_share(const std::string& pool, const std::string& name,
                        const std::vector<std::string>& known) {
    const auto order_of = [&](const std::string& it) {
        return common::digest_of(pool + '\n' + it);
    };
    const auto own = order_of(name);
    share_holder result;
    for (const auto& it : known) {
        if (it == name) {
            continue;
        }
        ++result.count;
        const auto other = order_of(it);
        result.rank += other < own || (other == own && it < name) ? 1 : 0;
    }
    return result;
}

} // namespace jujubemast::policy
