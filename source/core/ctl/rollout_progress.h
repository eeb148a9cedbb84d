#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

namespace jujubemast::ctl {

/// The revision of an entry and the revisions of its linked sidecars, as reported by the entry.
struct entry_revisions {
    std::string name;
    std::uint64_t revision = 0;
    /// Revisions by the name of the sidecar. Sidecars without a link are not included.
    std::map<std::string, std::uint64_t> sidecars;
};

/// Parses the response to GET /v1/revision. Returns nothing if it is malformed.
std::optional<entry_revisions> parse_entry_revisions(const std::string& body);

/// On how many processes a revision is in force.
struct rollout_progress {
    std::size_t live = 0;
    std::size_t applied = 0;
    /// A description of each process that has a lower revision or does not respond.
    std::vector<std::string> lagging;
};

/// Combines the reports of all entries. An entry that does not respond counts as lagging. For a
/// sidecar, the highest revision that any entry reports is used.
rollout_progress
measure_rollout(std::uint64_t revision,
                const std::map<std::string, std::optional<entry_revisions>>& entries);

} // namespace jujubemast::ctl
