#include "ctl/rollout_progress.h"

#include <algorithm>

#include <boost/json.hpp>

namespace jujubemast::ctl {

std::optional<entry_revisions> parse_entry_revisions(const std::string& body) {
    try {
        const auto value = boost::json::parse(body);
        entry_revisions result;
        result.name = std::string{value.at("name").as_string()};
        result.revision = value.at("revision").to_number<std::uint64_t>();
        for (const auto& it : value.at("sidecars").as_array()) {
            if (it.at("up").as_bool()) {
                result.sidecars[std::string{it.at("name").as_string()}] =
                    it.at("revision").to_number<std::uint64_t>();
            }
        }
        return result;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

rollout_progress
measure_rollout(std::uint64_t revision,
                const std::map<std::string, std::optional<entry_revisions>>& entries) {
    rollout_progress result;
    std::map<std::string, std::uint64_t> processes;
    for (const auto& [address, revisions] : entries) {
        if (!revisions) {
            ++result.live;
            result.lagging.push_back("entry at " + address + " does not respond");
            continue;
        }
        processes[revisions->name] = revisions->revision;
        for (const auto& [name, local_revision] : revisions->sidecars) {
            processes[name] = std::max(processes[name], local_revision);
        }
    }
    result.live += processes.size();
    for (const auto& [name, local_revision] : processes) {
        if (local_revision >= revision) {
            ++result.applied;
        } else {
            result.lagging.push_back(name + " is at revision " + std::to_string(local_revision));
        }
    }
    return result;
}

} // namespace jujubemast::ctl
