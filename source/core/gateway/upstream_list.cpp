#include "gateway/upstream_list.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway {

bool is_same_incarnation(const upstream_instance& a, const upstream_instance& b) {
    return a.id == b.id && a.started_ms == b.started_ms && a.address == b.address &&
           a.service == b.service && a.version == b.version;
}

incarnation incarnation_of(const upstream_instance& instance) {
    return {instance.id, instance.started_ms, http::to_string(instance.address)};
}

bool upstream_list::mark_leaving(const incarnation& instance) {
    if (std::find(m_leaving.begin(), m_leaving.end(), instance) != m_leaving.end()) {
        return false;
    }
    m_leaving.push_back(instance);
    if (m_leaving.size() > max_leaving) {
        m_leaving.pop_front();
    }
    const auto it = m_entries.find(instance.id);
    if (it == m_entries.end() || incarnation_of(it->second) != instance ||
        it->second.phase == upstream_phase::draining) {
        return false;
    }
    it->second.phase = upstream_phase::draining;
    return true;
}

bool upstream_list::is_known_to_leave(const upstream_instance& entry) const {
    const auto known = m_entries.find(entry.id);
    if (known != m_entries.end() && is_same_incarnation(known->second, entry)) {
        return known->second.phase == upstream_phase::draining &&
               entry.phase == upstream_phase::serving;
    }
    return std::find(m_departed.begin(), m_departed.end(), incarnation_of(entry)) !=
           m_departed.end();
}

void upstream_list::record_departure(const upstream_instance& entry) {
    m_departed.push_back(incarnation_of(entry));
    if (m_departed.size() > max_leaving) {
        m_departed.pop_front();
    }
}

void upstream_list::record_restore(common::time_point now) {
    m_restored = true;
    m_store_recovered = now;
    for (auto& [id, until] : m_expiring) {
        until = now + reregistration_time;
    }
}

bool upstream_list::end_restore() {
    m_restored = false;
    bool changed = false;
    for (auto& [id, entry] : std::exchange(m_contradicted, {})) {
        changed = put(std::move(entry)) || changed;
    }
    return changed;
}

bool upstream_list::put(upstream_instance entry) {
    m_contradicted.erase(entry.id);
    std::erase(m_departed, incarnation_of(entry));
    return store(std::move(entry));
}

bool upstream_list::store(upstream_instance entry) {
    m_expiring.erase(entry.id);
    if (!m_leaving.empty() &&
        std::find(m_leaving.begin(), m_leaving.end(), incarnation_of(entry)) != m_leaving.end()) {
        entry.phase = upstream_phase::draining;
    }
    auto& stored = m_entries[entry.id];
    if (stored == entry) {
        return false;
    }
    if (!stored.id.empty() && !is_same_incarnation(stored, entry)) {
        record_departure(stored);
    }
    stored = std::move(entry);
    return true;
}

bool upstream_list::may_have_expired(common::time_point now) const {
    return m_store_down || (m_store_recovered && now < *m_store_recovered + reregistration_time);
}

bool upstream_list::discard(const std::string& id) {
    m_expiring.erase(id);
    m_contradicted.erase(id);
    return m_entries.erase(id) > 0;
}

bool upstream_list::remove(const std::string& id, common::time_point now) {
    m_contradicted.erase(id);
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return false;
    }
    // A draining instance leaves on purpose, so its entry has not merely expired.
    if (may_have_expired(now) && it->second.phase == upstream_phase::serving) {
        m_expiring.try_emplace(id, (m_store_recovered ? *m_store_recovered : now) +
                                       reregistration_time);
        return false;
    }
    m_expiring.erase(id);
    record_departure(it->second);
    m_entries.erase(it);
    return true;
}

bool upstream_list::replace(const upstream_map& entries, common::time_point now) {
    bool changed = false;
    m_contradicted.clear();
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
        if (m_restored && is_known_to_leave(entry)) {
            m_contradicted.emplace(id, entry);
        } else {
            changed = store(entry) || changed;
        }
    }
    return changed;
}

void upstream_list::record_store_recovery(common::time_point now, common::duration unseen) {
    if (!std::exchange(m_store_down, false)) {
        return;
    }
    if (unseen < m_shortest_expiry) {
        // Instances could not renew their entries meanwhile.
        for (auto& [id, until] : m_expiring) {
            until += unseen;
        }
        return;
    }
    m_store_recovered = now;
    for (auto& [id, until] : m_expiring) {
        until = now + reregistration_time;
    }
}

bool upstream_list::expire(common::time_point now) {
    if (m_store_down) {
        return false;
    }
    bool changed = false;
    for (auto it = m_expiring.begin(); it != m_expiring.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        const auto expired = m_entries.find(it->first);
        if (expired != m_entries.end()) {
            record_departure(expired->second);
            m_entries.erase(expired);
        }
        it = m_expiring.erase(it);
        changed = true;
    }
    return changed;
}

std::optional<common::time_point> upstream_list::next_expiry() const {
    if (m_expiring.empty() || m_store_down) {
        return std::nullopt;
    }
    const auto it =
        std::min_element(m_expiring.begin(), m_expiring.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return it->second;
}

} // namespace jujubemast::gateway
