#include "gateway/store/drained_domains.h"

#include <algorithm>

namespace jujubemast::gateway::store {

store_position drained_domains::position_of(const std::string& domain) const {
    const auto known = m_domains.find(domain);
    return known == m_domains.end() ? store_position{} : known->second.position;
}

bool drained_domains::may_be_lost(const domain_drain& drain, common::time_point now) const {
    return drain.in_force && drain.position.era < m_floor.era && now < m_rewritten_by;
}

bool drained_domains::apply(const domain_drain& drain, common::time_point now) {
    // A read of the whole table skips the states between the known one and that of the table.
    const auto floor = may_be_lost(drain, now) ? store_position{} : m_floor;
    if (drain.position <= std::max(floor, position_of(drain.domain))) {
        return false;
    }
    set(drain, now);
    return true;
}

void drained_domains::set(const domain_drain& drain, common::time_point now) {
    auto& changed = m_domains[drain.domain];
    if (drain.in_force) {
        changed.ended.reset();
    } else if (changed.in_force) {
        changed.ended = now;
    }
    changed.position = drain.position;
    changed.in_force = drain.in_force;
}

std::vector<domain_drain> drained_domains::replace(const std::vector<domain_drain>& rows,
                                                   const store_position& position,
                                                   common::time_point now) {
    std::vector<domain_drain> changes;
    for (const auto& it : rows) {
        // Rows below `m_floor` count as well: the table is also read again to repair a copy that
        // lacks a row.
        if (it.position > position_of(it.domain)) {
            set(it, now);
            changes.push_back(it);
        }
    }
    advance(position);
    for (auto& [domain, known] : m_domains) {
        // A structured binding cannot be captured.
        const auto& name = domain;
        const bool listed = std::any_of(rows.begin(), rows.end(), [&name](const domain_drain& it) {
            return it.domain == name;
        });
        if (!listed && known.in_force && known.position <= position &&
            !may_be_lost({domain, known.position, true}, now)) {
            known = {position, false, now};
            changes.push_back({domain, position, false});
        }
    }
    return changes;
}

std::vector<domain_drain> drained_domains::end_lost(common::time_point now) {
    std::vector<domain_drain> changes;
    for (auto& [domain, known] : m_domains) {
        if (known.in_force && known.position.era < m_floor.era && now >= m_rewritten_by) {
            known = {m_floor, false, now};
            changes.push_back({domain, m_floor, false});
        }
    }
    return changes;
}

void drained_domains::advance(const store_position& position) {
    m_floor = std::max(m_floor, position);
    forget_ended();
}

void drained_domains::forget_ended() {
    const auto may_be_forgotten = [this](const auto& it) {
        return !it.second.in_force && it.second.position <= m_floor;
    };
    const auto ended = std::count_if(m_domains.begin(), m_domains.end(), may_be_forgotten);
    if (static_cast<std::size_t>(ended) > max_ended) {
        std::erase_if(m_domains, may_be_forgotten);
    }
}

bool drained_domains::is_drained(const std::string& domain) const {
    const auto known = m_domains.find(domain);
    return known != m_domains.end() && known->second.in_force;
}

std::optional<common::time_point> drained_domains::drain_ended(const std::string& domain) const {
    const auto known = m_domains.find(domain);
    return known == m_domains.end() ? std::nullopt : known->second.ended;
}

std::size_t drained_domains::count() const {
    return static_cast<std::size_t>(std::count_if(
        m_domains.begin(), m_domains.end(), [](const auto& it) { return it.second.in_force; }));
}

std::vector<domain_drain> drained_domains::all() const {
    std::vector<domain_drain> result;
    result.reserve(m_domains.size());
    for (const auto& [domain, it] : m_domains) {
        result.push_back({domain, it.position, it.in_force});
    }
    return result;
}

} // namespace jujubemast::gateway::store
