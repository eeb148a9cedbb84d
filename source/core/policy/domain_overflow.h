#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "common/time.h"

namespace jujubemast::policy {

/// One failure domain as one gateway sees it. The view may be old.
struct domain_view {
    std::string name;
    /// Work that its usable instances sustain, for example slots. Zero if the domain is drained or
    /// lost.
    double capacity = 0;
    /// Work of the callers that arrive in this domain, in the same unit, wherever it is placed. It
    /// does not change when work is moved, so that moving work cannot cause a feedback.
    double demand = 0;
};

struct overflow_options {
    /// A domain begins to send work away when its demand exceeds this share of its capacity.
    double begin_share = 0.85;
    /// It ends when the demand falls below this share. Others are filled up to it.
    double end_share = 0.75;
    /// Time constant of a rise of the share that leaves. Work that waits must not wait for long.
    common::duration rise_time = std::chrono::milliseconds{300};
    /// Largest fall, in a second, of the share that leaves, so that the instances of a domain that
    /// returns get their work gradually.
    double fall_per_s = 0.1;
    /// Time constant of a rise of the share that one other domain gets.
    common::duration target_rise_time = std::chrono::seconds{1};
};

/// How the work that arrives in one domain is divided.
struct domain_shares {
    /// Share that leaves the domain.
    double leaving = 0;
    /// Parts of `leaving` by domain.
    std::map<std::string, double> by_domain;
};

/// Returns the division that serves the demand of all domains, without regard to the division in
/// force. The demand above the fill level leaves and is spread over the other domains by their
/// spare capacity. If the demand of all domains exceeds the level, all are filled to the same one.
/// Each domain either sends or receives, because both follow from the same demand and capacity.
domain_shares desired_shares(const std::string& own, std::span<const domain_view> domains,
                             const overflow_options& options, bool is_leaving);

/// Returns the division for these views, given the one in force.
using overflow_hook =
    std::function<domain_shares(const std::string& own, std::span<const domain_view> domains,
                                const domain_shares& current, common::duration elapsed)>;

/// Moves from the division in force towards the desired one, with hysteresis and limited rates.
/// Nothing stays at a domain without capacity.
overflow_hook make_gradual_overflow(const overflow_options& options);

/// Sends nothing to other domains while the own one has an instance.
overflow_hook make_local_only();

/// Returns the domain for one request by a random number in [0, 1): the own one or another.
std::string choose_domain(const std::string& own, const domain_shares& shares, double random_unit);

} // namespace jujubemast::policy
