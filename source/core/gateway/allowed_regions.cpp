#include "gateway/allowed_regions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujubemast::gateway {

bool allowed_regions::allows(const std::string& region) const {
    return !m_names || (!region.empty() && m_names->contains(region));
}

allowed_regions allowed_regions::restricted_by(const allowed_regions& other) const {
    if (!m_names || !other.m_names) {
        return m_names ? *this : other;
    }
    std::set<std::string> both;
    std::set_intersection(m_names->begin(), m_names->end(), other.m_names->begin(),
                          other.m_names->end(), std::inserter(both, both.end()));
    return allowed_regions{std::move(both)};
}

} // namespace jujubemast::gateway
