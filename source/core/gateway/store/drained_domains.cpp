#include "gateway/store/drained_domains.h"

#include <algorithm>

namespace jujubemast::gateway::store {

std::uint64_t drained_domains::version_of(const std::string& domain) const {
    const auto known = m_domains.find(domain);
    return known == m_domains.end() ? 0 : known->second.version;
}

bool drained_domains::apply(const domain_drain& drain, common::time_point now) {
    // A read of the whole table skips the states between the known one and that of the table.
    if (drain.version <= std::max(m_floor, version_of(drain.domain))) {
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
    changed.version = drain.version;
    changed.in_force = drain.in_force;
}

std::vector<domain_drain> drained_domains::replace(const std::vector<domain_drain>& rows,
                                                   std::uint64_t version, common::time_point now) {
    std::vector<domain_drain> changes;
    for (const auto& it : rows) {
        // Rows below `m_floor` count as well: the table is also read again to repair a copy that
        // lacks a row.
        if (it.version > version_of(it.domain)) {
            set(it, now);
            changes.push_back(it);
        }
    }
    for (auto& [domain, known] : m_domains) {
        // A structured binding cannot be captured.
        const auto& name = domain;
        const bool listed = std::any_of(rows.begin(), rows.end(), [&name](const domain_drain& it) {
            return it.domain == name;
        });
        if (!listed && known.in_force && known.version <= version) {
            known = {version, false, now};
            changes.push_back({domain, version, false});
        }
    }
    advance(version);
    return changes;
}

void drained_domains::advance(std::uint64_t version) {
    m_floor = std::max(m_floor, version);
    forget_ended();
}

void drained_domains::forget_ended() {
    const auto may_be_forgotten = [this](const auto& it) {
        return !it.second.in_force && it.second.version <= m_floor;
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
        result.push_back({domain, it.version, it.in_force});
    }
    return result;
}

} // namespace jujubemast::gateway::store
