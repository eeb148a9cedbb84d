#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "gateway/stream_record.h"

namespace jujubemast::gateway::store {

/// How long a stream may be resumed after it began. The row of a stream, and a version without
/// instances in the list of its service, are kept for this time.
inline constexpr common::duration stream_retention = std::chrono::seconds{60};

/// After a restore of the store, the versions that were listed in the lost time are listed again
/// within this time: instances write their entries again within
/// `upstream_list::reregistration_time`, and then a gateway reads and completes the list.
inline constexpr common::duration relisting_time = std::chrono::seconds{5};

/// What the store says of the list of a service.
struct version_row {
    /// Empty if the row does not exist.
    std::optional<listed_versions> listed;
    /// The era of the store that has returned it.
    std::uint64_t era = 0;
    /// The store's clock in ms.
    std::int64_t store_ms = 0;
};

/// Returns the version that began every stream of the service which is not recorded, or nothing if
/// the row does not show it.
std::optional<std::string> sole_version(const version_row& row);

/// What this gateway knows of the list of software versions of one service, and how the list has to
/// change. Makes no calls and reads no clock.
///
/// A version must be in the list before its first stream begins, and may leave it only when no
/// stream that it began can be resumed any more. Whoever reads one version there from the store
/// therefore knows that this version began each stream that is not recorded, also if this gateway
/// has not seen the instances of another one.
class version_list {
public:
    /// Records the versions of the service's known instances.
    void record_instances(std::set<std::string> versions, common::time_point now);

    /// Records the row that the store has returned.
    void record_row(const version_row& row, common::time_point now);

    /// Records the row that the store has accepted.
    void record_write(const version_row& row, common::time_point now);

    /// The store may have lost the row, or versions in it.
    void invalidate();

    /// Whether the row has to be read, because it may have to change. A version is removed only if
    /// `instances_confirmed`: the known instances are the newest.
    [[nodiscard]] bool needs_read(common::time_point now, bool instances_confirmed) const;

    /// Returns the row to write in place of this one, which was just read, or nothing if it is
    /// right.
    [[nodiscard]] std::optional<listed_versions>
    next_row(const version_row& row, common::time_point now, bool instances_confirmed) const;

    /// The versions that may begin streams.
    [[nodiscard]] const std::set<std::string>& listed() const { return m_listed; }

    /// Whether the row names every version that has begun a stream which can be resumed.
    [[nodiscard]] bool is_complete(common::time_point now) const { return now >= m_complete_at; }

    /// Whether the row has been read, or written.
    [[nodiscard]] bool is_known() const { return m_known; }

private:
    [[nodiscard]] bool has_left(const std::string& version, common::time_point now) const;

    std::set<std::string> m_instances;
    /// When an instance of each version was last known, or the version was first read.
    std::map<std::string, common::time_point> m_last_seen;
    std::set<std::string> m_listed;
    /// Versions that were listed before a restore, and that no row of a later era has named yet.
    std::set<std::string> m_lost;
    /// Versions that were away for so long that the store may still perform a removal of them. They
    /// are listed again only by a write, which such a removal does not survive.
    std::set<std::string> m_returned;
    common::time_point m_complete_at;
    bool m_known = false;
    /// Whether `m_listed` is what the store has, as far as this gateway knows.
    bool m_read = false;
};

} // namespace jujubemast::gateway::store
