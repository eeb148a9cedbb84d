#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/domain_drain.h"

namespace jujubemast::gateway::store {

/// The drained failure domains, from rows that may arrive in any order, repeatedly, and from
/// several sources. The newest position of a row decides. A drain that a restored store has lost
/// stays in force until the operator has had time to write it again. Makes no calls and reads no
/// clock.
class drained_domains {
public:
    /// Time after a restore of the store within which the operator writes again what was lost.
    static constexpr common::duration rewrite_time = std::chrono::seconds{10};

    /// Applies one state of a row. Returns whether it is newer than what is known.
    bool apply(const domain_drain& drain, common::time_point now);

    /// Applies all rows of the table. `position` is the one at which the read of the table began: a
    /// domain without a row is not drained unless a later position says so, or the store may have
    /// lost the row. Returns what has become known.
    std::vector<domain_drain> replace(const std::vector<domain_drain>& rows,
                                      const store_position& position, common::time_point now);

    /// All changes of the table up to this position have been applied.
    void advance(const store_position& position);

    /// The store has been restored from an older copy.
    void record_restore(common::time_point now) { m_rewritten_by = now + rewrite_time; }

    /// Ends the drains that were lost in a restore and not written again in time. Returns them.
    std::vector<domain_drain> end_lost(common::time_point now);

    [[nodiscard]] bool is_drained(const std::string& domain) const;

    /// When this gateway learned that the last drain of the domain has ended. Nothing if the domain
    /// is drained or was not.
    [[nodiscard]] std::optional<common::time_point> drain_ended(const std::string& domain) const;

    /// Number of domains that are drained.
    [[nodiscard]] std::size_t count() const;

    /// The newest known state of each domain, those whose drain has ended included.
    [[nodiscard]] std::vector<domain_drain> all() const;

private:
    /// Ended drains that are remembered although `m_floor` covers their positions.
    static constexpr std::size_t max_ended = 64;

    struct state {
        store_position position;
        bool in_force = false;
        std::optional<common::time_point> ended;
    };

    /// Position of the known state of a domain, or zero.
    [[nodiscard]] store_position position_of(const std::string& domain) const;
    /// Whether the store may have lost the row with this state in a restore.
    [[nodiscard]] bool may_be_lost(const domain_drain& drain, common::time_point now) const;
    void set(const domain_drain& drain, common::time_point now);
    void forget_ended();

    std::map<std::string, state> m_domains;
    /// All changes up to this position are known, so earlier states are out of date.
    store_position m_floor;
    /// Until then the operator may still write again what the last restore has lost.
    common::time_point m_rewritten_by;
};

} // namespace jujubemast::gateway::store
