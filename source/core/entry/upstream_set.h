#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

#include "entry/messages.h"
#include "policy/outlier_detector.h"
#include "policy/retry_budget.h"
#include "policy/routing.h"

namespace jujubemast::entry {

struct upstream_set_options {
    policy::outlier_options outliers;
    /// Retries and hedges have separate budgets, so that hedges cannot use up the retries that a
    /// failing upstream makes necessary. The sum of the ratios stays below the 10% that the
    /// setting `retry.budget` states, which leaves room for the reserves. The reserve for hedges
    /// covers the requests that an unresponsive upstream accepts before it is ejected.
    policy::retry_budget_options retries{.ratio = 0.03, .reserve = 3};
    policy::retry_budget_options hedges{.ratio = 0.04, .reserve = 4};
};

/// Effect of a new link status on the work sent over the link: none, messages may have been lost
/// (`reconnected`), or the work itself is lost (`lost`).
enum class link_change { none, reconnected, lost };

/// State of the upstreams that one entry has links to, and the decisions based on it: routing,
/// ejection, and budgets for retries and hedges. Owned by the coordinator.
class upstream_set {
public:
    upstream_set(upstream_set_options options, policy::routing_hook route)
        : m_options{options}, m_route{std::move(route)} {}

    /// Updates an upstream from the status of its link. Returns the effect on work that was sent
    /// over this link before.
    link_change update(const link_status& status, common::time_point now);

    void remove(const std::string& instance);

    /// Chooses an upstream for the stage and counts the work as sent to it. Returns nullptr if no
    /// upstream is available.
    const link_status* choose(const tickets::stage_settings& stage,
                              policy::routing_request request);

    /// Records a complete result with the upstream's service time per chunk.
    void record_success(const std::string& pool, const std::string& instance,
                        common::duration service_time, common::time_point now);
    void record_failure(const std::string& pool, const std::string& instance,
                        common::time_point now);

    /// Takes an attempt from the pool's budget for retries or hedges. Returns false if the budget
    /// is used up.
    bool try_acquire_retry(const std::string& pool, common::time_point now);
    bool try_acquire_hedge(const std::string& pool, common::time_point now);
    void record_first_attempt(const std::string& pool);

    /// Returns the shortest queue wait that any available upstream of the pool reports for new
    /// work.
    [[nodiscard]] common::duration expected_wait(const std::string& pool,
                                                 common::priority priority) const;

    [[nodiscard]] boost::json::value dump() const;

private:
    /// The upstreams of a pool. The status and the routing view of an upstream have the same index.
    struct pool_members {
        std::vector<link_status> statuses;
        std::vector<policy::upstream_view> views;
    };

    struct pool_state {
        explicit pool_state(const upstream_set_options& options)
            : outliers{options.outliers}, retries{options.retries}, hedges{options.hedges} {}

        pool_members members;
        policy::outlier_detector outliers;
        policy::retry_budget retries;
        policy::retry_budget hedges;
    };

    pool_state& pool(const std::string& name);
    /// Returns the index of a member and adds the member if it is unknown.
    static std::size_t index_of(pool_state& target, const std::string& name);

    upstream_set_options m_options;
    policy::routing_hook m_route;
    /// Pool of each instance.
    std::map<std::string, std::string> m_pool_of;
    std::map<std::string, pool_state> m_pools;
};

} // namespace jujubemast::entry
