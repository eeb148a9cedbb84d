#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "gateway/instances/choice_explanation.h"
#include "gateway/instances/domain_balance.h"
#include "gateway/instances/instance_state.h"
#include "gateway/instances/prefix_memory.h"
#include "gateway/instances/waiting_requests.h"
#include "gateway/upstream_list.h"
#include "http/client.h"
#include "policy/outlier_detector.h"
#include "policy/placement.h"
#include "policy/retry_budget.h"
#include "policy/routing.h"
#include "policy/shared_limit.h"

namespace jujubemast::gateway::instances {

inline constexpr std::size_t unlimited_permits = std::numeric_limits<std::size_t>::max();

/// An upstream instance with the state that this gateway keeps for it.
struct pool_member {
    upstream_instance identity;
    std::uint64_t digest = 0;
    std::shared_ptr<http::client> client;
    std::uint32_t in_progress = 0;
    instance_state state;
    /// Connections that this gateway may have to the instance.
    std::size_t permits = unlimited_permits;

    void set_permits(std::size_t n) {
        permits = n;
        client->set_max_connections(n);
    }

    [[nodiscard]] bool has_free_connection() const { return client->calls_in_progress() < permits; }
};

/// Whether an instance was chosen for a request, or why not.
enum class choice_outcome {
    chosen,
    /// All connections to the instances that take work are in use.
    no_connection,
    /// All instances that would take work pause.
    pausing,
    none
};

struct instance_choice {
    choice_outcome outcome = choice_outcome::none;
    std::shared_ptr<pool_member> member;
    /// When the first pause ends, if the instances pause.
    common::time_point retry_at;
    /// Why the instance of its failure domain was chosen.
    policy::placement_reason reason = policy::placement_reason::routing;
    /// The request has large inputs.
    bool has_inputs = false;
    /// Bytes of the inputs that cross failure domains.
    double remote_bytes = 0;
};

/// The instances of one service, with load balancing, outlier detection and the retry budget.
class service_pool {
public:
    service_pool(runtime::task_context context, policy::routing_hook route,
                 policy::placement_hook place = policy::place_by_routing,
                 policy::overflow_hook overflow = {});

    /// Updates the members from the known upstreams of this service.
    void update(const std::string& service, const upstream_map& known, common::time_point now);

    /// Sets this gateway's share of the retry budget.
    void set_budget(const policy::retry_budget_options& options);

    /// Sets the limit of each instance on the connections of all gateways together, and this
    /// gateway's position among them. Without a limit any number of connections is allowed.
    void set_connection_limit(std::optional<std::size_t> limit, const policy::share_holder& holder);

    /// Sets the failure domain of this gateway and the number of gateways in each domain.
    void set_gateways(const std::string& own_domain,
                      const std::map<std::string, std::size_t>& counts);

    /// Chooses an instance that takes work and has a free connection. `prefix_uses` and
    /// `target_domain` of the request are set here.
    instance_choice choose(policy::routing_request request);

    /// Explains the choice for a request without sending it.
    [[nodiscard]] choice_explanation explain(policy::routing_request request,
                                             const policy::transfer_terms& terms);

    /// Returns the instance that a prompt prefix hashes to regardless of load, or null.
    [[nodiscard]] std::shared_ptr<pool_member> affinity_member(std::uint64_t prefix);

    /// The same among the instances of one failure domain.
    [[nodiscard]] std::shared_ptr<pool_member> affinity_member_in(std::string_view failure_domain,
                                                                  std::uint64_t prefix);

    /// Whether this gateway has lately sent a prompt with this prefix to the instance.
    [[nodiscard]] bool has_prefix(const pool_member& member, std::uint64_t prefix,
                                  common::time_point now) const {
        return m_prefixes.holds(prefix, member.digest, now);
    }

    /// Whether an instance that is not excluded accepts work.
    bool has_alternative(const std::vector<std::string>& excluded, common::time_point now);

    /// The requests of this service that wait for an instance.
    [[nodiscard]] waiting_requests& waiting() { return m_waiting; }

    void record_success(const pool_member& member, common::duration service_time,
                        common::time_point now);
    void record_failure(const pool_member& member, common::time_point now);

    [[nodiscard]] policy::retry_budget& budget() { return m_budget; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }

private:
    /// Brings the phases of all members up to date.
    void update_states(common::time_point now);
    [[nodiscard]] std::vector<policy::upstream_view>
    views(const policy::routing_request& request) const;
    /// Returns why no member was chosen.
    [[nodiscard]] instance_choice explain_no_choice(const policy::routing_request& request) const;
    void add_if_new(const upstream_instance& instance, common::time_point now);
    void divide_connections();
    /// Sets what the pool knows for the choice.
    void prepare(policy::routing_request& request, domain_balance& balance) const;

    runtime::task_context m_context;
    policy::routing_hook m_route;
    policy::placement_hook m_place;
    prefix_memory m_prefixes;
    domain_balance m_balance;
    std::vector<std::shared_ptr<pool_member>> m_members;
    std::optional<std::size_t> m_connection_limit;
    policy::share_holder m_holder;
    policy::outlier_detector m_health;
    policy::retry_budget m_budget;
    waiting_requests m_waiting;
};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::choice_outcome> {
    static constexpr std::array<std::string_view, 4> table{"chosen", "no_connection", "pausing",
                                                           "none"};
};

} // namespace jujubemast::common
