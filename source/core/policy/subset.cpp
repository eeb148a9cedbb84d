#include "policy/subset.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "common/digest.h"

namespace jujubemast::policy {

std::vector<std::size_t> choose_subset(const std::string& entry, const std::string& failure_domain,
                                       const std::vector<subset_member>& members,
                                       std::size_t subset_size) {
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    if (members.size() <= subset_size) {
        return order;
    }
    std::vector<std::uint64_t> ranks;
    ranks.reserve(members.size());
    for (const auto& it : members) {
        ranks.push_back(common::digest_of(entry + "\n" + it.name));
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return ranks[a] > ranks[b]; });
    // Both passes go through the members by rank, so that the highest ranks are chosen.
    const auto is_local = [&](std::size_t n) {
        return members[n].failure_domain == failure_domain;
    };
    std::vector<std::size_t> chosen;
    for (const auto n : order) {
        if (chosen.size() < subset_size / 2 && is_local(n)) {
            chosen.push_back(n);
        }
    }
    for (const auto n : order) {
        if (chosen.size() < subset_size &&
            std::find(chosen.begin(), chosen.end(), n) == chosen.end()) {
            chosen.push_back(n);
        }
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace jujubemast::policy
