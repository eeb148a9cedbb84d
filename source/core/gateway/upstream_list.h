#pragma once

#include <array>
#include <cstdint>
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

/// Whether an upstream instance takes new work.
enum class upstream_phase { serving, draining };

/// One start of one upstream instance, as it registered itself.
struct upstream_instance {
    std::string id;
    /// Unix millisecond of its start; tells two starts under one id apart. Zero when not given.
    std::int64_t started_ms = 0;
    std::string service;
    http::endpoint address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    upstream_phase phase = upstream_phase::serving;

    friend bool operator==(const upstream_instance&, const upstream_instance&) = default;
};

/// Whether two entries name the same start of the same instance at the same place. Calls and
/// connections of one start must not serve another.
bool is_same_incarnation(const upstream_instance& a, const upstream_instance& b);

/// The known upstream instances by id. Immutable once published.
using upstream_map = std::map<std::string, upstream_instance>;
using upstream_map_pointer = std::shared_ptr<const upstream_map>;

/// Keeps the list of upstream instances from the store's entries. An entry that disappears while
/// the store is unsteady may only have lapsed; it stays until the store has been back for the
/// return time.
class upstream_list {
public:
    /// Lapsed entries are back this long after the store's return if their instance lives.
    static constexpr common::duration reregistration_time = std::chrono::milliseconds{2200};

    /// Takes an entry that was written. Returns whether anything but its heartbeat changed.
    bool put(upstream_instance entry);

    /// Takes the removal of an entry, or an entry that cannot be used. Returns whether the list
    /// changed at once.
    bool remove(const std::string& id, common::time_point now);

    /// Replaces everything by a complete reading of the store. Returns whether the list changed.
    bool replace(const upstream_map& entries, common::time_point now);

    /// The store did not answer.
    void record_store_outage() { m_store_down = true; }

    /// The store answers again.
    void record_store_recovery(common::time_point now);

    /// Drops lapsed entries whose time is over. Returns whether the list changed.
    bool expire(common::time_point now);

    /// The earliest time at which `expire` has something to do.
    [[nodiscard]] std::optional<common::time_point> next_expiry() const;

    [[nodiscard]] const upstream_map& entries() const { return m_entries; }

private:
    [[nodiscard]] bool is_store_unstable(common::time_point now) const;

    upstream_map m_entries;
    /// Removed while the store was unsteady, with the time at which they are given up.
    std::map<std::string, common::time_point> m_expiring;
    bool m_store_down = false;
    std::optional<common::time_point> m_store_recovered;
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::upstream_phase> {
    static constexpr std::array<std::string_view, 2> table{"serving", "draining"};
};

} // namespace jujubemast::common
