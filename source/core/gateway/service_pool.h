#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/upstream_list.h"
#include "http/client.h"
#include "policy/outlier_detector.h"
#include "policy/retry_budget.h"
#include "policy/routing.h"

namespace jujubemast::gateway {

/// An upstream instance with the state that this gateway keeps for it.
struct pool_member {
    upstream_instance identity;
    std::uint64_t digest = 0;
    std::shared_ptr<http::client> client;
    std::uint32_t in_progress = 0;
    common::time_point available_since;
};

/// The instances of one service, with load balancing, outlier detection and the retry budget.
class service_pool {
public:
    service_pool(runtime::task_context context, policy::routing_hook route);

    /// Updates the members from the known upstreams of this service.
    void update(const std::string& service, const upstream_map& known, common::time_point now);

    /// Sets this gateway's share of the retry budget.
    void set_budget(const policy::retry_budget_options& options);

    /// Chooses an instance, or returns null.
    std::shared_ptr<pool_member> choose(const policy::routing_request& request);

    /// Returns the instance that a prompt prefix hashes to regardless of load, or null.
    [[nodiscard]] std::shared_ptr<pool_member> affinity_member(std::uint64_t prefix);

    /// Whether an instance that is not excluded accepts work.
    bool has_alternative(const std::vector<std::string>& excluded);

    void record_success(const pool_member& member, common::duration service_time,
                        common::time_point now);
    void record_failure(const pool_member& member, common::time_point now);

    [[nodiscard]] policy::retry_budget& budget() { return m_budget; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }

private:
    std::vector<policy::upstream_view> views(common::time_point now);

    runtime::task_context m_context;
    policy::routing_hook m_route;
    std::vector<std::shared_ptr<pool_member>> m_members;
    policy::outlier_detector m_health;
    policy::retry_budget m_budget;
};

} // namespace jujubemast::gateway
