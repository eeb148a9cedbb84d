#include "gateway/ownership.h"

#include <algorithm>
#include <cstdint>

#include "common/digest.h"

namespace jujubemast::gateway {

std::vector<std::string> eligible_owners(const std::vector<owner_candidate>& candidates) {
    double largest = 0;
    for (const auto& it : candidates) {
        largest = std::max(largest, it.processor_share);
    }
    std::vector<std::string> names;
    for (const auto& it : candidates) {
        if (it.processor_share >= largest / 2) {
            names.push_back(it.name);
        }
    }
    return names;
}

std::string choose_owner(const std::string& service, const std::vector<std::string>& gateways) {
    const auto rank = [&](const std::string& gateway) {
        return common::digest_of(service + '\n' + gateway);
    };
    const auto it = std::max_element(
        gateways.begin(), gateways.end(),
        [&](const std::string& a, const std::string& b) { return rank(a) < rank(b); });
    return it == gateways.end() ? std::string{} : *it;
}

} // namespace jujubemast::gateway
