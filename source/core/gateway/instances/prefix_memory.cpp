#include "gateway/instances/prefix_memory.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::gateway::instances {

double prefix_memory::uses_at(const entry& of, common::time_point now) {
    return of.uses * std::exp(-std::chrono::duration<double>(now - of.last_use) /
                              std::chrono::duration<double>(retention));
}

void prefix_memory::record(std::uint64_t prefix, std::uint64_t instance, common::time_point now) {
    if (!m_entries.contains(prefix) && m_entries.size() >= max_prefixes) {
        remove_oldest();
    }
    auto& it = m_entries[prefix];
    it.uses = uses_at(it, now) + 1;
    it.last_use = now;
    std::erase_if(it.instances, [&](const auto& known) { return known.first == instance; });
    if (it.instances.size() >= max_instances) {
        it.instances.erase(it.instances.begin());
    }
    it.instances.emplace_back(instance, now);
}

bool prefix_memory::holds(std::uint64_t prefix, std::uint64_t instance,
                          common::time_point now) const {
    const auto it = m_entries.find(prefix);
    return it != m_entries.end() && std::any_of(it->second.instances.begin(),
                                                it->second.instances.end(), [&](const auto& known) {
                                                    return known.first == instance &&
                                                           now - known.second < retention;
                                                });
}

double prefix_memory::uses(std::uint64_t prefix, common::time_point now) const {
    const auto it = m_entries.find(prefix);
    return it == m_entries.end() ? 0 : uses_at(it->second, now);
}

void prefix_memory::remove_oldest() {
    m_entries.erase(
        std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
            return a.second.last_use < b.second.last_use;
        }));
}

} // namespace jujubemast::gateway::instances
