#include "gateway/store/store_readers.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>

#include "common/digest.h"

namespace jujubemast::gateway::store {

std::vector<std::string> choose_store_readers(const std::vector<owner_candidate>& gateways,
                                              std::size_t count) {
    const auto large = eligible_owners(gateways);
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    for (const auto& it : gateways) {
        const bool is_large = std::find(large.begin(), large.end(), it.name) != large.end();
        ranked.emplace_back(is_large, common::digest_of("store reader\n" + it.name), it.name);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>{});
    ranked.resize(std::min(ranked.size(), count));
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (const auto& [is_large, rank, name] : ranked) {
        names.push_back(name);
    }
    return names;
}

} // namespace jujubemast::gateway::store
