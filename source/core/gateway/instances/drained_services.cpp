#include "gateway/instances/drained_services.h"

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

} // namespace jujubemast::gateway::instances
