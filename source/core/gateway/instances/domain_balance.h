#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "common/time.h"
#include "policy/domain_overflow.h"

namespace jujubemast::gateway::instances {

/// Divides the requests of one gateway to one service among the failure domains. The demand of a
/// domain is estimated without messages: each gateway is taken to have as many requests in progress
/// as this one.
class domain_balance {
public:
    /// Without a hook no domain is chosen.
    explicit domain_balance(policy::overflow_hook hook) : m_hook{std::move(hook)} {}

    /// Sets the failure domain of this gateway and the number of gateways in each domain.
    void set_gateways(const std::string& own_domain,
                      const std::map<std::string, std::size_t>& counts);

    /// Slots of the instances that accept work, by failure domain.
    using slot_counts = std::map<std::string, double>;

    /// Returns the failure domain for the next request, or an empty string for any. `in_progress`
    /// are this gateway's requests to the service, including those that wait.
    std::string choose(const slot_counts& slots, std::size_t in_progress, common::time_point now);

    [[nodiscard]] const policy::domain_shares& shares() const { return m_shares; }

private:
    void update(const slot_counts& slots, std::size_t in_progress, common::time_point now);

    policy::overflow_hook m_hook;
    std::string m_own_domain;
    std::map<std::string, std::size_t> m_gateways;
    /// Mean number of requests in progress.
    double m_in_progress = 0;
    policy::domain_shares m_shares;
    std::optional<common::time_point> m_updated;
    std::size_t m_choices = 0;
};

} // namespace jujubemast::gateway::instances
