#pragma once

#include <array>
#include <cstdint>
#include <functional>
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
#include "gateway/instances/instance_filter.h"
#include "gateway/instances/instance_state.h"
#include "gateway/instances/load_estimate.h"
#include "gateway/instances/prefix_memory.h"
#include "gateway/instances/send_window.h"
#include "gateway/instances/waiting_requests.h"
#include "gateway/instances/warm_up_share.h"
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
    /// What this gateway has sent lately, for the limit of cold instances.
    send_window sends;
    /// Until when the instance is cold, if it was cold at the last update.
    std::optional<common::time_point> cold_until;

    void set_permits(std::size_t n) {
        permits = n;
        client->set_max_connections(n);
    }

    [[nodiscard]] bool has_free_connection() const { return client->calls_in_progress() < permits; }
};

/// Whether an instance was chosen for a request, or why not. If several reasons hold for different
/// instances, the first one counts.
enum class choice_outcome {
    chosen,
    /// All connections to the instances that take work are in use.
    no_connection,
    /// The instances that take work are cold, and this gateway has used its permits.
    cold,
    /// All instances that would take work pause.
    pausing,
    /// Instances that would take work are in drained failure domains.
    drained,
    /// This process was paused and may not know a drain that was set meanwhile.
    process_paused,
    none
};

struct instance_choice {
    choice_outcome outcome = choice_outcome::none;
    std::shared_ptr<pool_member> member;
    /// When the first pause ends or the first cold instance may get a request.
    std::optional<common::time_point> retry_at;
    /// Why the instance of its failure domain was chosen.
    policy::placement_reason reason = policy::placement_reason::routing;
    /// The request has large inputs.
    bool has_inputs = false;
    /// Bytes of the inputs that cross failure domains.
    double remote_bytes = 0;
};

/// The limit of a service on the requests to its cold instances.
struct warm_up_rule {
    /// How long an instance is cold after its start or after a drain.
    common::duration time = common::duration::zero();
    /// Returns this gateway's permits at the instance with this digest.
    std::function<warm_up_permits(std::uint64_t instance_digest, common::time_point now)> permits;
    /// Told when an instance becomes cold, and when it no longer is.
    std::function<void(const pool_member& member, common::time_point now)> on_change;
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

    /// Sets the limit on the requests to cold instances.
    void set_warm_up(std::optional<warm_up_rule> rule, common::time_point now);

    /// Sets the failure domain of this gateway and the number of gateways in each domain.
    void set_gateways(const std::string& own_domain,
                      const std::map<std::string, std::size_t>& counts);

    /// Chooses an instance among the allowed ones that takes work, has a free connection and a
    /// permit if it is cold. `prefix_uses` and `target_domain` of the request are set here.
    instance_choice choose(const policy::routing_request& request,
                           const instance_filter& allowed = {});

    /// Returns the choice that `choose` would make. Records nothing. If a failure domain is given,
    /// an instance in it is chosen if there is any.
    instance_choice preview(const policy::routing_request& request,
                            const instance_filter& allowed = {},
                            std::string_view failure_domain = {});

    /// Explains the choice for a request without sending it.
    [[nodiscard]] choice_explanation explain(policy::routing_request request,
                                             const policy::transfer_terms& terms,
                                             const instance_filter& allowed = {});

    /// Chooses the instance with this id if it can take a request with this prompt prefix now.
    /// Returns null otherwise.
    std::shared_ptr<pool_member> take(const std::string& id, common::time_point now,
                                      std::uint64_t prefix = 0);

    /// Returns the instance outside the drained failure domains that a prompt prefix hashes to
    /// regardless of load, or null.
    [[nodiscard]] std::shared_ptr<pool_member>
    affinity_member(std::uint64_t prefix, const instance_filter& allowed = {}) const;

    /// The same among the instances of one failure domain.
    [[nodiscard]] std::shared_ptr<pool_member>
    affinity_member_in(std::string_view failure_domain, std::uint64_t prefix,
                       const instance_filter& allowed = {}) const;

    /// Whether this gateway has lately sent a prompt with this prefix to the instance.
    [[nodiscard]] bool has_prefix(const pool_member& member, std::uint64_t prefix,
                                  common::time_point now) const {
        return m_prefixes.holds(prefix, member.digest, now);
    }

    /// Whether an instance among the allowed ones that is not excluded accepts work, now or when it
    /// has a permit.
    bool has_alternative(const std::vector<std::string>& excluded, common::time_point now,
                         const instance_filter& allowed = {});

    /// The same without the instances that have no permit now.
    bool has_ready_alternative(const std::vector<std::string>& excluded, common::time_point now,
                               const instance_filter& allowed = {});

    /// The instances that were cold at the last update.
    [[nodiscard]] std::vector<std::shared_ptr<const pool_member>> cold_members() const;

    /// The requests of this service that wait for an instance.
    [[nodiscard]] waiting_requests& waiting() { return m_waiting; }

    /// What this gateway knows about the load of a member that a request was just sent to.
    [[nodiscard]] known_load load_of(const pool_member& member, std::size_t gateways) const;

    void record_success(const pool_member& member, common::duration service_time,
                        common::time_point now);
    void record_failure(const pool_member& member, common::time_point now);

    [[nodiscard]] policy::retry_budget& budget() { return m_budget; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }

private:
    /// Records that a request is about to be sent to the member.
    void record_choice(pool_member& member, std::uint64_t prefix, common::time_point now);
    /// Brings the phases of all members up to date.
    void update_states(common::time_point now);
    [[nodiscard]] std::vector<policy::upstream_view> views(const policy::routing_request& request,
                                                           const instance_filter& allowed) const;
    /// Chooses an instance and records nothing but in `balance`.
    instance_choice place(policy::routing_request request, const instance_filter& allowed,
                          domain_balance& balance, std::string_view failure_domain = {});
    [[nodiscard]] candidate_verdict verdict_of(const pool_member& member,
                                               const policy::routing_request& request,
                                               const instance_filter& allowed) const;
    /// Returns why no member was chosen.
    [[nodiscard]] instance_choice explain_no_choice(const policy::routing_request& request,
                                                    const instance_filter& allowed) const;
    void update_cold(pool_member& member, common::time_point now) const;
    /// When the limit of cold instances permits a request to the member. If the time is later than
    /// now, the number of permits may have changed by then.
    [[nodiscard]] common::time_point next_send(const pool_member& member,
                                               common::time_point now) const;
    void add_if_new(const upstream_instance& instance, common::time_point now);
    void divide_connections();
    /// Sets what the pool knows for the choice.
    void prepare(policy::routing_request& request, const instance_filter& allowed,
                 domain_balance& balance) const;

    runtime::task_context m_context;
    policy::routing_hook m_route;
    policy::placement_hook m_place;
    prefix_memory m_prefixes;
    domain_balance m_balance;
    std::vector<std::shared_ptr<pool_member>> m_members;
    std::optional<std::size_t> m_connection_limit;
    policy::share_holder m_holder;
    std::optional<warm_up_rule> m_warm_up;
    policy::outlier_detector m_health;
    policy::retry_budget m_budget;
    waiting_requests m_waiting;
};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::choice_outcome> {
    static constexpr std::array<std::string_view, 7> table{
        "chosen", "no_connection", "cold", "pausing", "drained", "process_paused", "none"};
};

} // namespace jujubemast::common
