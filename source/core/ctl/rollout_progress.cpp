#include "ctl/progress.h"

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

progress measure_progress(std::uint64_t revision,
                          const std::map<std::string, std::optional<entry_revisions>>& entries) {
    progress result;
    std::map<std::string, std::uint64_t> processes;
    for (const auto& [address, report] : entries) {
        if (!report) {
            ++result.live;
            result.lagging.push_back("entry at " + address + " does not answer");
            continue;
        }
        processes[report->name] = report->revision;
        for (const auto& [name, held] : report->sidecars) {
            processes[name] = std::max(processes[name], held);
        }
    }
    result.live += processes.size();
    for (const auto& [name, held] : processes) {
        if (held >= revision) {
            ++result.applied;
        } else {
            result.lagging.push_back(name + " holds revision " + std::to_string(held));
        }
    }
    return result;
}

} // namespace jujubemast::ctl
