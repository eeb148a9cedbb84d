#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/instances/send_window.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::instances {

/// Returns until when an instance is cold whose service has this warm-up time, or nothing if it has
/// not been cold.
std::optional<common::time_point> cold_end(const upstream_instance& instance,
                                           common::duration warm_up_time);

/// How much of its share a gateway may use.
enum class share_level {
    /// The other gateways may not have seen this one yet.
    none,
    /// There may be gateways that do not know of this one, or that this one does not know of.
    reduced,
    full
};

/// Requests that this gateway may send to one cold instance in one window.
struct warm_up_permits {
    std::size_t count = 0;
    /// When the number may rise, if that is known.
    std::optional<common::time_point> next_change;
};

/// Requests that all gateways together may send to one cold instance in one window, by the level of
/// their shares.
struct warm_up_total {
    std::size_t full = 0;
    std::size_t reduced = 0;
};

/// Divides what a cold instance gets at most in one second: 1.5 times its warm-up rate and 5 more.
warm_up_total divide_warm_up_rate(double rate);

/// Returns this gateway's part of a number of permits, from its rank among a number of gateways.
using division_hook =
    std::function<std::size_t(std::size_t total, std::size_t rank, std::size_t gateways)>;

/// Deals the permits in turn in the order of the ranks. No part rises if a gateway is added at any
/// rank, so the parts of gateways that know more names than there are senders never exceed the
/// total.
std::size_t deal_permits(std::size_t total, std::size_t rank, std::size_t gateways);

struct warm_up_share_options {
    /// The store has to confirm the names of the gateways at least this often for a full share.
    common::duration max_names_age = std::chrono::seconds{3};
    /// Gateways that can reach the store or another gateway know a new one after this time.
    common::duration join_delay = std::chrono::seconds{1};
    division_hook divide = deal_permits;
};

/// This gateway's share of the requests that cold instances get, from the names of the gateways
/// alone. Each instance orders the gateways by rendezvous hashing and deals its permits in that
/// order, so the shares do not depend on which instances a gateway knows.
///
/// The sum of the full shares holds because each of these gateways knows all others with a full
/// share: its names are not older than `max_names_age`, and a new gateway waits longer than that.
/// Reads no clock.
class warm_up_share {
public:
    explicit warm_up_share(std::string self, warm_up_share_options options = {});

    /// Sets the names of all gateways. A name that is missing counts for some time, because its
    /// gateway may still send.
    void set_names(const std::vector<std::string>& names, common::time_point now);

    /// The store has shown that the names were complete at this time.
    void confirm_names(common::time_point at);

    [[nodiscard]] share_level level(common::time_point now) const;

    /// Returns the permits at the instance with this digest.
    [[nodiscard]] warm_up_permits permits(std::uint64_t instance_digest, double rate,
                                          common::time_point now);

private:
    struct known_gateway {
        std::uint64_t digest = 0;
        std::optional<common::time_point> removed;
    };

    [[nodiscard]] common::duration full_share_delay() const;
    void forget_removed(common::time_point now);
    void schedule_forget();
    std::size_t rank_at(std::uint64_t instance_digest);

    std::string m_self;
    warm_up_share_options m_options;
    std::map<std::string, known_gateway> m_gateways;
    /// When the first removed name no longer counts.
    std::optional<common::time_point> m_forget_at;
    std::optional<common::time_point> m_confirmed;
    /// Since when this gateway's own name is among the names.
    std::optional<common::time_point> m_joined;
    /// Ranks of this gateway by the digest of the instance.
    std::unordered_map<std::uint64_t, std::size_t> m_ranks;
};

} // namespace jujubemast::gateway::instances

namespace jujubemast::common {

template <>
struct enum_names<gateway::instances::share_level> {
    static constexpr std::array<std::string_view, 3> table{"none", "reduced", "full"};
};

} // namespace jujubemast::common
