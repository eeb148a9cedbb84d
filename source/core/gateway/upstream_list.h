#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "http/message.h"

namespace jujubemast::gateway {

/// Whether an upstream instance accepts new work.
enum class upstream_phase { serving, draining };

/// One incarnation of an upstream instance, as registered in the store.
struct upstream_instance {
    std::string id;
    /// Start time in Unix milliseconds, which distinguishes incarnations with the same id. Zero if
    /// unknown.
    std::int64_t started_ms = 0;
    std::string service;
    http::endpoint address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    upstream_phase phase = upstream_phase::serving;
    /// Version of the instance's software, not of its weights.
    std::string version = {};
    /// Until when the instance is cold according to its row. Empty if the row does not say so.
    std::optional<common::time_point> cold_until;
    /// When the instance was seen to start during traffic, or when the last drain of its failure
    /// domain ended. Its warm-up time runs from then.
    std::optional<common::time_point> warms_up_from;
    /// Region of the failure domain. Empty if it is unknown. Set in published maps only.
    std::string region = {};
    /// Whether the operator has drained the failure domain. Set in published maps only.
    bool domain_drained = false;

    friend bool operator==(const upstream_instance&, const upstream_instance&) = default;
};

/// Identifies one incarnation of an instance.
struct incarnation {
    std::string id;
    std::int64_t started_ms = 0;
    std::string address;

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

incarnation incarnation_of(const upstream_instance& instance);

/// Whether two entries describe the same incarnation at the same address. An instance whose
/// software version has changed is another incarnation. Calls and connections of one incarnation
/// must not be used for another.
bool is_same_incarnation(const upstream_instance& a, const upstream_instance& b);

/// The known upstream instances by id. Immutable once published.
using upstream_map = std::map<std::string, upstream_instance>;
using upstream_map_pointer = std::shared_ptr<const upstream_map>;

/// The upstream instances registered in the store. An entry that disappears in an outage of the
/// store may merely have expired because the instance could not renew it. It is kept until the
/// store has been back for `reregistration_time`. After an outage that was too short for an entry
/// to expire, an entry that is missing belongs to an instance that has left.
///
/// A store that is restored from an older copy lacks new entries and brings earlier ones back. For
/// some time after a restore, an instance that is known to leave or to have left stays so, whatever
/// its entry in the copy says; one that is written later counts at once. After that time the
/// entries of the copy count as well.
class upstream_list {
public:
    /// Interval at which instances renew their entries, unless the settings name another one.
    static constexpr std::chrono::milliseconds default_heartbeat{1200};
    /// An entry expires when this many renewals in a row are missing.
    static constexpr int missed_heartbeats_to_expiry = 3;

    /// Returns the shortest outage in which an entry can expire. The last renewal may have been due
    /// up to one interval before the outage began.
    static constexpr common::duration shortest_expiry(common::duration heartbeat) {
        return (missed_heartbeats_to_expiry - 1) * heartbeat;
    }

    /// An instance that is alive renews its expired entry within this time after the store
    /// recovers.
    static constexpr common::duration reregistration_time = std::chrono::milliseconds{2200};

    explicit upstream_list(common::duration heartbeat = default_heartbeat)
        : m_shortest_expiry{shortest_expiry(heartbeat)} {}

    /// Adds or replaces an entry. Returns whether it differs from the stored one; an entry that an
    /// instance rewrites as its heartbeat does not differ.
    bool put(upstream_instance entry);

    /// Records that an instance has announced that it is about to stop. It counts as draining from
    /// then on, whatever its entry says. Returns whether the list changed.
    bool mark_leaving(const incarnation& instance);

    /// Removes an entry that has become malformed. It was rewritten, so it has not expired. Returns
    /// whether the list changed.
    bool discard(const std::string& id);

    /// Handles an entry that was deleted. Returns whether the list changed at once.
    bool remove(const std::string& id, common::time_point now);

    /// Replaces the list by the whole content of the table. Returns whether the list changed.
    bool replace(const upstream_map& entries, common::time_point now);

    /// Records that the store does not respond.
    void record_store_outage() { m_store_down = true; }

    /// Records that the store responds again, after a time in which it was not seen to be
    /// available.
    void record_store_recovery(common::time_point now, common::duration unseen);

    /// Records that the store was restored from an older copy.
    void record_restore(common::time_point now);

    /// From now on, entries of instances that were known to leave before a restore are taken as the
    /// store has them. Returns whether the list changed.
    bool end_restore();

    /// Whether an entry that disappears now may have expired in an outage.
    [[nodiscard]] bool may_have_expired(common::time_point now) const;

    /// Removes expired entries whose grace period has ended. Returns whether the list changed.
    bool expire(common::time_point now);

    /// Returns the time of the next removal by `expire`.
    [[nodiscard]] std::optional<common::time_point> next_expiry() const;

    [[nodiscard]] const upstream_map& entries() const { return m_entries; }

private:
    /// Number of announcements, and of departures, that are remembered.
    static constexpr std::size_t max_leaving = 1024;

    /// Whether the instance of the entry is known to leave or to have left.
    [[nodiscard]] bool is_known_to_leave(const upstream_instance& entry) const;
    void record_departure(const upstream_instance& entry);
    /// Adds or replaces an entry whatever is known of its instance.
    bool store(upstream_instance entry);

    upstream_map m_entries;
    /// Instances that have left or were replaced by another incarnation, oldest first.
    std::deque<incarnation> m_departed;
    /// Whether the store was restored a short time ago.
    bool m_restored = false;
    /// Entries of the older copy whose instances are known to leave or to have left.
    upstream_map m_contradicted;
    /// Instances that have announced that they are about to stop, oldest first.
    std::deque<incarnation> m_leaving;
    /// Entries that may have expired, with the time of their removal.
    std::map<std::string, common::time_point> m_expiring;
    common::duration m_shortest_expiry;
    bool m_store_down = false;
    /// End of the last outage in which entries may have expired.
    std::optional<common::time_point> m_store_recovered;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::upstream_phase> {
    static constexpr std::array<std::string_view, 2> table{"serving", "draining"};
};

} // namespace jujubemast::common
