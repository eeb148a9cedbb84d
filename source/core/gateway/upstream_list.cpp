#include "gateway/upstream_list.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway {

bool is_same_start(const upstream_instance& a, const upstream_instance& b) {
    return a.id == b.id && a.started_ms == b.started_ms && a.address == b.address &&
           a.service == b.service;
}

bool upstream_list::put(upstream_instance entry) {
    m_lapsed.erase(entry.id);
    auto& place = m_entries[entry.id];
    if (place == entry) {
        return false;
    }
    place = std::move(entry);
    return true;
}

bool upstream_list::unsteady(common::time_point now) const {
    return m_store_lost || (m_returned && now < *m_returned + return_time);
}

bool upstream_list::remove(const std::string& id, common::time_point now) {
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return false;
    }
    // An instance that announced its leaving has not merely lapsed.
    if (unsteady(now) && it->second.phase == upstream_phase::serving) {
        m_lapsed.try_emplace(id, (m_returned ? *m_returned : now) + return_time);
        return false;
    }
    m_lapsed.erase(id);
    m_entries.erase(it);
    return true;
}

bool upstream_list::replace(const upstream_map& entries, common::time_point now) {
    bool changed = false;
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!entries.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        changed = remove(id, now) || changed;
    }
    for (const auto& [id, entry] : entries) {
        changed = put(entry) || changed;
    }
    return changed;
}

void upstream_list::record_store_return(common::time_point now) {
    if (!std::exchange(m_store_lost, false)) {
        return;
    }
    m_returned = now;
    for (auto& [id, until] : m_lapsed) {
        until = now + return_time;
    }
}

bool upstream_list::expire(common::time_point now) {
    if (m_store_lost) {
        return false;
    }
    bool changed = false;
    for (auto it = m_lapsed.begin(); it != m_lapsed.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_entries.erase(it->first);
        it = m_lapsed.erase(it);
        changed = true;
    }
    return changed;
}

std::optional<common::time_point> upstream_list::next_expiry() const {
    if (m_lapsed.empty() || m_store_lost) {
        return std::nullopt;
    }
    const auto it =
        std::min_element(m_lapsed.begin(), m_lapsed.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return it->second;
}

} // namespace jujubemast::gateway
