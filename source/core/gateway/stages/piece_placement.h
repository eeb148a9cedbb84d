#pragma once

#include <functional>
#include <optional>

#include "common/time.h"
#include "policy/domain_cost.h"

namespace jujubemast::gateway::stages {

/// Results of this size are worth a call in the failure domain of their reader. Orders with smaller
/// ones prefer the domain of their inputs.
inline constexpr double large_result_bytes = 50'000;

/// An order that prefers another failure domain than that of a free instance.
struct hold_facts {
    common::duration until_target = common::duration::zero();
    /// Duration of a call with as many pieces as an instance accepts.
    common::duration full_call = common::duration::zero();
    /// Expected time until an instance in the preferred domain is free. Nothing if none there
    /// accepts work.
    std::optional<common::duration> until_preferred;
    /// How long the order has been held already.
    common::duration held = common::duration::zero();
    /// Size of one result.
    double result_bytes = 0;
    /// Pieces of the order have been taken in the preferred domain.
    bool is_started = false;
};

/// Whether the pieces of the order wait for an instance in the preferred domain.
using hold_hook = std::function<bool(const hold_facts& facts)>;

/// Holds pieces while two full calls fit in before their target time, however long the wait is. The
/// former policy.
bool hold_while_slack(const hold_facts& facts);

/// Holds pieces with large results if an instance in the preferred domain is free now, so that no
/// call becomes smaller and no piece later. The rest of an order that has been started there is
/// held for up to 30 ms, if its bytes are worth it. Other pieces are held by the former policy,
/// because their inputs exist already.
hold_hook make_hold_by_cost(const policy::transfer_terms& terms);

/// A free instance that may get the next call.
struct free_instance {
    /// It is in the domain that the first waiting order prefers.
    bool is_preferred = false;
    double used_bytes = 0;
    double free_bytes = 0;
    /// Result memory that the next call will need.
    double wanted_bytes = 0;
};

/// Whether the first instance is the better one.
using instance_order_hook = std::function<bool(const free_instance& a, const free_instance& b)>;

/// Prefers the instance with less memory in use. The former policy.
bool has_less_in_use(const free_instance& a, const free_instance& b);

/// Prefers an instance in the preferred domain if the next call fits into its memory, then one with
/// less memory in use, because a smaller call would cost time.
bool is_better_placed(const free_instance& a, const free_instance& b);

/// The decisions of an owner on where pieces are made.
struct piece_placement {
    hold_hook hold = hold_while_slack;
    instance_order_hook is_better = has_less_in_use;
    /// Whether the pieces of an order with large results prefer the domain of its first ones.
    bool keeps_orders_together = false;
};

/// Returns the decisions for this price of bytes, or the former ones without a price.
piece_placement make_piece_placement(const policy::transfer_terms& terms);

} // namespace jujubemast::gateway::stages
