#include "gateway/configuration.h"

#include <algorithm>

namespace jujubemast::gateway {

void index_routes(configuration& target) {
    target.routes_by_host.clear();
    for (std::size_t n = 0; n < target.routes.size(); ++n) {
        target.routes_by_host[target.routes[n].host].push_back(n);
    }
    for (auto& [host, positions] : target.routes_by_host) {
        std::stable_sort(positions.begin(), positions.end(), [&](std::size_t a, std::size_t b) {
            return target.routes[a].prefix.size() > target.routes[b].prefix.size();
        });
    }
}

const route* find_route(const configuration& known, std::string_view host, std::string_view path) {
    const auto it = known.routes_by_host.find(std::string{host.substr(0, host.find(':'))});
    if (it == known.routes_by_host.end()) {
        return nullptr;
    }
    for (const auto n : it->second) {
        if (path.substr(0, known.routes[n].prefix.size()) == known.routes[n].prefix) {
            return &known.routes[n];
        }
    }
    return nullptr;
}

const workspace* find_workspace(const configuration& known, const std::string& key) {
    const auto it = known.workspaces_by_key.find(key);
    return it == known.workspaces_by_key.end() ? nullptr : &it->second;
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
