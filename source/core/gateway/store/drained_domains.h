#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/domain_drain.h"

namespace jujubemast::gateway::store {

/// The drained failure domains, from rows that may arrive in any order, repeatedly, and from
/// several sources. The newest version of a row decides. Makes no calls and reads no clock.
class drained_domains {
public:
    /// Applies one state of a row. Returns whether it is newer than what is known.
    bool apply(const domain_drain& drain, common::time_point now);

    /// Applies all rows of the table. `version` is the one at which the read of the table began: a
    /// domain without a row is not drained unless a later version says so. Returns what has become
    /// known.
    std::vector<domain_drain> replace(const std::vector<domain_drain>& rows, std::uint64_t version,
                                      common::time_point now);

    /// All changes of the table up to this version have been applied.
    void advance(std::uint64_t version);

    [[nodiscard]] bool is_drained(const std::string& domain) const;

    /// When this gateway learned that the last drain of the domain has ended. Nothing if the domain
    /// is drained or was not.
    [[nodiscard]] std::optional<common::time_point> drain_ended(const std::string& domain) const;

    /// Number of domains that are drained.
    [[nodiscard]] std::size_t count() const;

    /// The newest known state of each domain, those whose drain has ended included.
    [[nodiscard]] std::vector<domain_drain> all() const;

private:
    /// Ended drains that are remembered although `m_floor` covers their versions.
    static constexpr std::size_t max_ended = 64;

    struct state {
        std::uint64_t version = 0;
        bool in_force = false;
        std::optional<common::time_point> ended;
    };

    /// Version of the known state of a domain, or zero.
    [[nodiscard]] std::uint64_t version_of(const std::string& domain) const;
    void set(const domain_drain& drain, common::time_point now);
    void forget_ended();

    std::map<std::string, state> m_domains;
    /// All changes up to this version are known, so earlier states are out of date.
    std::uint64_t m_floor = 0;
};

} // namespace jujubemast::gateway::store
