#include "gateway/store/gateway_list.h"

#include <utility>

namespace jujubemast::gateway::store {

void gateway_list::put(const std::string& name, const std::optional<gateway_record>& record) {
    m_restored.erase(name);
    m_records.erase(name);
    if (record) {
        m_records.emplace(name, *record);
    }
}

void gateway_list::replace(const std::map<std::string, gateway_record>& rows,
                           common::time_point now) {
    m_restored.clear();
    if (now >= m_reregistered_by) {
        m_records = rows;
        return;
    }
    for (const auto& [name, known] : m_records) {
        const auto row = rows.find(name);
        if (row == rows.end()) {
            m_restored[name] = std::nullopt;
        } else if (row->second != known) {
            m_restored[name] = row->second;
        }
    }
    m_records.insert(rows.begin(), rows.end());
}

bool gateway_list::expire(common::time_point now) {
    if (m_restored.empty() || now < m_reregistered_by) {
        return false;
    }
    for (const auto& [name, row] : std::exchange(m_restored, {})) {
        put(name, row);
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
    if (const auto restored = m_restored.find(name); restored != m_restored.end()) {
        return restored->second ? &*restored->second : nullptr;
    }
    const auto it = m_records.find(name);
    return it == m_records.end() ? nullptr : &it->second;
}

} // namespace jujubemast::gateway::store
