#include "gateway/store/version_list.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway::store {

namespace {

// Another gateway may have removed a version from the list that this one has not seen for this
// long. Shorter than the retention time by more than the time in which all gateways learn that the
// last instance is gone.
constexpr common::duration max_unseen_time = stream_retention / 2;

std::int64_t relisting_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(relisting_time).count();
}

} // namespace

std::optional<std::string> sole_version(const version_row& row) {
    if (!row.listed || row.listed->versions.size() != 1 || row.listed->era != row.era) {
        return std::nullopt;
    }
    const auto since = row.listed->complete_since_ms;
    if (since != 0 && row.store_ms - since < relisting_ms()) {
        return std::nullopt;
    }
    return *row.listed->versions.begin();
}

void version_list::record_instances(std::set<std::string> versions, common::time_point now) {
    for (const auto& it : m_instances) {
        m_last_seen[it] = now;
    }
    for (const auto& it : versions) {
        const auto last = m_last_seen.find(it);
        if (last != m_last_seen.end() && now - last->second > max_unseen_time) {
            m_read = m_listed.erase(it) == 0 && m_read;
        }
        m_last_seen[it] = now;
    }
    m_instances = std::move(versions);
}

void version_list::record_row(const version_row& row, common::time_point now) {
    if (!row.listed || row.listed->era != row.era) {
        return;
    }
    m_listed = row.listed->versions;
    for (const auto& it : m_listed) {
        m_last_seen.emplace(it, now);
    }
    m_known = true;
    m_read = true;
}

bool version_list::has_left(const std::string& version, common::time_point now) const {
    if (m_instances.contains(version)) {
        return false;
    }
    const auto last = m_last_seen.find(version);
    return last != m_last_seen.end() && now - last->second >= stream_retention;
}

bool version_list::needs_read(common::time_point now, bool instances_confirmed) const {
    if (m_instances.empty()) {
        // Without instances nothing begins, so nothing is listed or removed.
        return false;
    }
    if (!m_read ||
        !std::includes(m_listed.begin(), m_listed.end(), m_instances.begin(), m_instances.end())) {
        return true;
    }
    return instances_confirmed && std::any_of(m_listed.begin(), m_listed.end(),
                                              [&](const auto& it) { return has_left(it, now); });
}

std::optional<listed_versions> version_list::next_row(const version_row& row,
                                                      common::time_point now,
                                                      bool instances_confirmed) const {
    listed_versions next;
    next.era = row.era;
    next.versions = m_instances;
    const bool is_restored = row.listed && row.listed->era != row.era;
    if (row.listed) {
        next.versions.insert(row.listed->versions.begin(), row.listed->versions.end());
        next.complete_since_ms = is_restored ? row.store_ms : row.listed->complete_since_ms;
    }
    if (is_restored || !row.listed) {
        // The store may have lost versions that this gateway has listed.
        next.versions.insert(m_listed.begin(), m_listed.end());
    }
    if (!row.listed && !m_listed.empty()) {
        next.complete_since_ms = row.store_ms;
    }
    if (instances_confirmed && !is_restored) {
        std::erase_if(next.versions, [&](const auto& it) { return has_left(it, now); });
    }
    return row.listed == next ? std::nullopt : std::optional{std::move(next)};
}

} // namespace jujubemast::gateway::store
