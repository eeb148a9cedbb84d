#include "gateway/instances/domain_index.h"

namespace jujubemast::gateway::instances {

std::string domain_index::domain_of(std::string_view handle,
                                    const upstream_map_pointer& upstreams) {
    if (upstreams != m_indexed) {
        m_domains.clear();
        m_indexed = upstreams;
        if (upstreams) {
            for (const auto& [id, it] : *upstreams) {
                m_domains.emplace(http::to_string(it.address), it.failure_domain);
            }
        }
    }
    const auto it = m_domains.find(std::string{handle.substr(0, handle.find('/'))});
    return it == m_domains.end() ? std::string{} : it->second;
}

} // namespace jujubemast::gateway::instances
