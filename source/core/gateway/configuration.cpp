#include "gateway/configuration.h"

#include <algorithm>

#include "gateway/stage_order.h"

namespace jujubemast::gateway {

void index_routes(configuration& config) {
    config.routes_by_host.clear();
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        config.routes_by_host[config.routes[n].host].push_back(n);
    }
    for (auto& [host, positions] : config.routes_by_host) {
        std::stable_sort(positions.begin(), positions.end(), [&](std::size_t a, std::size_t b) {
            return config.routes[a].prefix.size() > config.routes[b].prefix.size();
        });
    }
}

void check_stages(configuration& config) {
    for (auto& it : config.routes) {
        if (it.usable && !stage_order(it.stages)) {
            it.usable = false;
            config.faults.push_back(
                {"route " + it.name,
                 "a stage depends on itself, directly or not, or on one that does not exist"});
        }
    }
}

const route* find_route(const configuration& config, std::string_view host, std::string_view path) {
    const auto it = config.routes_by_host.find(std::string{host.substr(0, host.find(':'))});
    if (it == config.routes_by_host.end()) {
        return nullptr;
    }
    for (const auto n : it->second) {
        if (path.substr(0, config.routes[n].prefix.size()) == config.routes[n].prefix) {
            return &config.routes[n];
        }
    }
    return nullptr;
}

common::duration event_patience(const route& of) {
    // Callers wait for the longest of these times.
    constexpr common::duration min_patience = std::chrono::seconds{2};
    constexpr int latency_target_factor = 4;
    constexpr int event_gap_factor = 8;
    return std::max({min_patience, of.latency_target * latency_target_factor,
                     of.event_gap_target * event_gap_factor});
}

const workspace* find_workspace(const configuration& config, const std::string& key) {
    const auto it = config.workspaces_by_key.find(key);
    return it == config.workspaces_by_key.end() ? nullptr : &it->second;
}

std::string choose_service(const route& of, double random_unit) {
    double total = 0;
    for (const auto& it : of.services) {
        total += it.weight;
    }
    double left = random_unit * total;
    for (const auto& it : of.services) {
        left -= it.weight;
        if (left < 0) {
            return it.service;
        }
    }
    return of.services.empty() ? std::string{} : of.services.back().service;
}

} // namespace jujubemast::gateway
