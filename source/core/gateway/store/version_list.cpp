#include "gateway/store/version_list.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway::store {

namespace {

// Another gateway may have removed a version from the list that this one has not seen for this
// long. Shorter than the retention time by more than the time in which all gateways learn that the
// last instance is gone.
constexpr common::duration max_unseen_time = stream_retention / 2;

/// Returns how long the row is not complete yet.
common::duration time_to_completion(const version_row& row) {
    const auto since = row.listed->complete_since_ms;
    if (since == 0) {
        return common::duration::zero();
    }
    const std::chrono::milliseconds age{row.store_ms - since};
    return std::clamp<common::duration>(relisting_time - age, common::duration::zero(),
                                        relisting_time);
}

} // namespace

std::optional<std::string> sole_version(const version_row& row) {
    if (!row.listed || row.listed->versions.size() != 1 || row.listed->era != row.era) {
        return std::nullopt;
    }
    if (time_to_completion(row) > common::duration::zero()) {
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
            m_returned.insert(it);
            m_read = m_listed.erase(it) == 0 && m_read;
        }
        m_last_seen[it] = now;
    }
    const auto left = std::erase_if(
        m_returned, [&](const std::string& version) { return !versions.contains(version); });
    m_read = left == 0 && m_read;
    m_instances = std::move(versions);
}

void version_list::invalidate() {
    m_lost.insert(m_listed.begin(), m_listed.end());
    m_read = false;
}

void version_list::record_write(const version_row& row, common::time_point now) {
    m_returned.clear();
    record_row(row, now);
}

void version_list::record_row(const version_row& row, common::time_point now) {
    if (!row.listed || row.listed->era != row.era) {
        return;
    }
    m_listed = row.listed->versions;
    std::erase_if(m_lost,
                  [&](const auto& it) { return m_listed.contains(it) || has_left(it, now); });
    for (const auto& it : m_listed) {
        m_last_seen.emplace(it, now);
    }
    for (const auto& it : m_returned) {
        m_listed.erase(it);
    }
    m_complete_at = now + time_to_completion(row);
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
    if (!m_read || !m_lost.empty() ||
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
    } else {
        // The store may have lost the row.
        next.complete_since_ms = row.store_ms;
    }
    next.versions.insert(m_lost.begin(), m_lost.end());
    if (is_restored || !row.listed) {
        // The store may have lost versions that this gateway has listed.
        next.versions.insert(m_listed.begin(), m_listed.end());
    }
    if (instances_confirmed && !is_restored) {
        std::erase_if(next.versions, [&](const auto& it) { return has_left(it, now); });
    }
    return row.listed == next && m_returned.empty() ? std::nullopt : std::optional{std::move(next)};
}

} // namespace jujubemast::gateway::store
