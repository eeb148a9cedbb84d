#include "gateway/instances/drained_services.h"

#include <algorithm>

namespace jujubemast::gateway::instances {

std::set<std::string> find_drained_services(const upstream_map& known) {
    std::set<std::string> drained;
    std::set<std::string> usable;
    for (const auto& [id, it] : known) {
        if (it.domain_drained) {
            drained.insert(it.service);
        } else if (it.phase == upstream_phase::serving) {
            usable.insert(it.service);
        }
    }
    std::erase_if(drained, [&](const std::string& it) { return usable.contains(it); });
    return drained;
}

bool has_instance_in(const upstream_map& known, const std::string& service,
                     const instance_filter& allowed) {
    return std::any_of(known.begin(), known.end(), [&](const auto& it) {
        const auto& instance = it.second;
        return instance.service == service && !instance.domain_drained &&
               instance.phase == upstream_phase::serving && allowed.allows(instance);
    });
}

} // namespace jujubemast::gateway::instances
