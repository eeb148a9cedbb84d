#include "gateway/store/warm_up_tracker.h"

#include <algorithm>
#include <cstdlib>

namespace jujubemast::gateway::store {

bool warm_up_tracker::complete(upstream_instance& entry, const store_position& position,
                               common::time_point now) {
    const auto [it, is_new_id] = m_known.try_emplace(entry.id);
    auto& known = it->second;
    const bool is_same = !is_new_id && is_same_incarnation(known.entry, entry);
    bool is_extended = false;
    if (is_same && entry.cold_until && known.entry.cold_until) {
        const auto change = *entry.cold_until - *known.entry.cold_until;
        if (position == known.position || std::chrono::abs(change) <= row_delay) {
            entry.cold_until = known.entry.cold_until;
        }
        is_extended = *entry.cold_until > *known.entry.cold_until;
    }
    if (!is_same) {
        const bool during_traffic =
            m_first_read && (!is_new_id || now - *m_first_read >= start_time);
        known.started = during_traffic ? std::optional{now} : std::nullopt;
    }
    known.position = position;
    known.removed.reset();
    known.entry = entry;
    entry.warms_up_from = known.started;
    return is_extended;
}

void warm_up_tracker::table_read(common::time_point now) {
    m_first_read = m_first_read.value_or(now);
}

void warm_up_tracker::removed(const std::string& id, common::time_point now) {
    std::erase_if(m_known, [&](const auto& it) {
        return it.second.removed && now - *it.second.removed >= retention;
    });
    const auto it = m_known.find(id);
    if (it != m_known.end()) {
        it->second.removed = it->second.removed.value_or(now);
    }
}

} // namespace jujubemast::gateway::store
