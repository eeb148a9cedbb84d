#include "gateway/instances/domain_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace jujubemast::gateway::instances {

namespace {

// Time over which the number of requests in progress is averaged.
constexpr std::chrono::duration<double> averaging_time{2};
// After a longer time without requests nothing is known of the demand.
constexpr common::duration longest_step = std::chrono::seconds{10};

} // namespace

void domain_balance::set_gateways(const std::string& own_domain,
                                  const std::map<std::string, std::size_t>& counts) {
    m_own_domain = own_domain;
    m_gateways = counts;
    // This gateway may not be in the list yet.
    auto& own = m_gateways[own_domain];
    own = std::max<std::size_t>(1, own);
}

void domain_balance::update(const slot_counts& slots, std::size_t in_progress,
                            common::time_point now) {
    const auto elapsed = std::min(longest_step, now - m_updated.value_or(now - longest_step));
    m_updated = now;
    const double covered = 1 - std::exp(-std::chrono::duration<double>(elapsed) / averaging_time);
    m_in_progress += (static_cast<double>(in_progress) - m_in_progress) * covered;
    std::map<std::string, policy::domain_view> views;
    for (const auto& [name, count] : slots) {
        views[name] = {name, count, 0};
    }
    for (const auto& [name, count] : m_gateways) {
        auto& view = views[name];
        view.name = name;
        view.demand = m_in_progress * static_cast<double>(count);
    }
    std::vector<policy::domain_view> domains;
    domains.reserve(views.size());
    for (auto& [name, it] : views) {
        domains.push_back(std::move(it));
    }
    m_shares = m_hook(m_own_domain, domains, m_shares, elapsed);
}

std::string domain_balance::choose(const slot_counts& slots, std::size_t in_progress,
                                   common::time_point now) {
    if (!m_hook || slots.size() < 2) {
        return {};
    }
    update(slots, in_progress, now);
    // Multiples of the golden ratio are spread evenly over [0, 1), so that even a few requests are
    // divided in these shares.
    constexpr double golden_ratio = 0.6180339887498949;
    const double position = golden_ratio * static_cast<double>(++m_choices);
    return policy::choose_domain(m_own_domain, m_shares, position - std::floor(position));
}

} // namespace jujubemast::gateway::instances
