#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/upstream_list.h"

namespace jujubemast::gateway::instances {

/// Finds the failure domain in which a stage result is stored. Its handle begins with the address
/// of the instance that holds it.
class domain_index {
public:
    /// Returns the domain, or an empty string if the instance is not known. The index is built
    /// again when it is used with another map.
    [[nodiscard]] std::string domain_of(std::string_view handle,
                                        const upstream_map_pointer& upstreams);

private:
    upstream_map_pointer m_indexed;
    std::unordered_map<std::string, std::string> m_domains;
};

} // namespace jujubemast::gateway::instances
