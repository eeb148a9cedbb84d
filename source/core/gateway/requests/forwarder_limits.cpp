#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "gateway/requests/forwarder.h"
#include "policy/shared_limit.h"

// This gateway's share of the limits that all gateways have together.

namespace jujubemast::gateway::requests {

void forwarder::handle(const gateway_names_changed& message) {
    m_gateways = message.names;
    m_gateway_count = std::max<std::size_t>(1, m_gateways.size());
    m_gateways_per_domain = message.per_domain;
    m_estimator.set_gateway_count(m_gateway_count);
    m_warm_up_share.set_names(message.names, common::monotonic_clock::now());
    for (auto& [name, pool] : m_pools) {
        update_limits(name, *pool);
        schedule_waiting(name);
    }
}

void forwarder::handle(const gateway_names_confirmed& message) {
    const auto now = common::monotonic_clock::now();
    const auto before = m_warm_up_share.level(now);
    m_warm_up_share.confirm_names(message.at);
    if (m_warm_up_share.level(now) == before) {
        return;
    }
    for (auto& [name, pool] : m_pools) {
        schedule_waiting(name);
    }
}

void forwarder::update_limits(const std::string& service, instances::service_pool& pool) {
    // Each gateway keeps to its own share of the budget, so that the sum holds regardless of what
    // the others do. Up to half of the reserve can accumulate; it refills within one window.
    policy::retry_budget_options options;
    options.ratio = 0.75 * m_options.retries.ratio;
    options.reserve = 0.4 * m_options.retries.reserve / static_cast<double>(m_gateway_count);
    options.max_balance = 0.5 * m_options.retries.reserve / static_cast<double>(m_gateway_count);
    options.reserve_period = m_options.retries.window;
    pool.set_budget(options);
    pool.set_gateways(m_options.failure_domain, m_gateways_per_domain);
    if (!m_configuration) {
        return;
    }
    const auto it = m_configuration->services.find(service);
    const auto* known = it == m_configuration->services.end() ? nullptr : &it->second;
    pool.set_connection_limit(known != nullptr ? known->max_connections : std::nullopt,
                              policy::find_share(service, m_options.name, m_gateways));
    std::optional<instances::warm_up_rule> rule;
    if (known != nullptr && known->warm_up) {
        rule = make_warm_up_rule(service, *known->warm_up);
    }
    pool.set_warm_up(std::move(rule), common::monotonic_clock::now());
}

instances::warm_up_rule forwarder::make_warm_up_rule(const std::string& service,
                                                     const warm_up_limit& limit) {
    return {limit.time,
            [this, rate = limit.rate](std::uint64_t instance_digest, common::time_point now) {
                return m_warm_up_share.permits(instance_digest, rate, now);
            },
            [this, service](const instances::pool_member& member, common::time_point now) {
                if (!member.cold_until) {
                    m_log.info("The instance is no longer cold.",
                               {{"service", service}, {"upstream", member.identity.id}});
                    return;
                }
                const auto left = common::to_milliseconds(*member.cold_until - now);
                m_log.info("The instance is cold.",
                           {{"service", service},
                            {"upstream", member.identity.id},
                            {"cold_left_ms", std::to_string(static_cast<std::int64_t>(left))}});
            }};
}

std::size_t forwarder::count_cold() const {
    std::size_t n = 0;
    for (const auto& [name, pool] : m_pools) {
        n += pool->cold_members().size();
    }
    return n;
}

boost::json::array forwarder::dump_cold(const instances::service_pool& pool) {
    const auto now = common::monotonic_clock::now();
    boost::json::array result;
    for (const auto& it : pool.cold_members()) {
        result.emplace_back(boost::json::object{
            {"upstream", it->identity.id},
            {"left_ms", std::max(0.0, common::to_milliseconds(*it->cold_until - now))},
            {"sent", it->sends.count(now)}});
    }
    return result;
}

} // namespace jujubemast::gateway::requests
