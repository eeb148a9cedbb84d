#include "gateway/store/gateway_list.h"

#include <utility>

namespace jujubemast::gateway::store {

void gateway_list::put(const std::string& name, const std::optional<gateway_record>& record) {
    m_missing.erase(name);
    m_records.erase(name);
    if (record) {
        m_records.emplace(name, *record);
    }
}

void gateway_list::begin_replace(common::time_point now) {
    m_missing.clear();
    if (now >= m_reregistered_by) {
        m_records.clear();
        return;
    }
    for (const auto& [name, it] : m_records) {
        m_missing.insert(name);
    }
}

bool gateway_list::expire(common::time_point now) {
    if (m_missing.empty() || now < m_reregistered_by) {
        return false;
    }
    for (const auto& name : std::exchange(m_missing, {})) {
        m_records.erase(name);
    }
    return true;
}

std::vector<gateway_record> gateway_list::all() const {
    std::vector<gateway_record> result;
    result.reserve(m_records.size());
    for (const auto& [name, it] : m_records) {
        result.push_back(it);
    }
    return result;
}

const gateway_record* gateway_list::find_stored(const std::string& name) const {
    const auto it = m_records.find(name);
    return it == m_records.end() || m_missing.contains(name) ? nullptr : &it->second;
}

} // namespace jujubemast::gateway::store
