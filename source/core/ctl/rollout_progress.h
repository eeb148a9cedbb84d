#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

namespace jujubemast::ctl {

/// Revisions of an entry and of the sidecars that it has a link to, as the entry reports them.
struct entry_revisions {
    std::string name;
    std::uint64_t revision = 0;
    /// Linked sidecars only.
    std::map<std::string, std::uint64_t> sidecars;
};

/// Reads the answer of GET /v1/revision; nothing for another form.
std::optional<entry_revisions> parse_entry_revisions(const std::string& body);

/// How far a revision has come.
struct rollout_progress {
    std::size_t live = 0;
    std::size_t applied = 0;
    /// Each process that holds a lower revision or does not answer, with what is known of it.
    std::vector<std::string> lagging;
};

/// Adds up the reports of all entries; an entry without an answer counts as lagging. A sidecar is
/// judged by the highest revision that any entry has heard from it.
rollout_progress
measure_rollout(std::uint64_t revision,
                const std::map<std::string, std::optional<entry_revisions>>& entries);

} // namespace jujubemast::ctl
