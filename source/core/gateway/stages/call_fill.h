#pragma once

#include <cstddef>
#include <functional>
#include <limits>

namespace jujubemast::gateway::stages {

/// What a call to an instance may still take.
struct call_room {
    std::size_t pieces = 0;
    /// Free result memory of the instance.
    double bytes = std::numeric_limits<double>::infinity();
    /// Pieces that the call has taken.
    std::size_t taken = 0;
    /// Whether pieces were left because their results do not fit.
    bool lacks_memory = false;
    /// Memory for the pieces behind those that do not fit.
    double bypass_bytes = std::numeric_limits<double>::infinity();
};

/// The waiting pieces of one order.
struct waiting_order {
    std::size_t pieces = 0;
    /// Size of the result of each piece.
    double result_bytes = 0;
};

/// Returns how many pieces of an order a call takes, and subtracts them from the room. It is called
/// for the waiting orders in the order in which they are served.
using call_fill_hook = std::function<std::size_t(call_room& room, const waiting_order& order)>;

/// Leaves pieces whose results do not fit, and goes on with smaller ones. Those take at most a
/// quarter of one result that did not fit, so that small results cannot fill the memory which a
/// large one waits for.
std::size_t fill_with_fitting(call_room& room, const waiting_order& order);

/// Ends the call at the first piece whose result does not fit.
std::size_t fill_until_misfit(call_room& room, const waiting_order& order);

} // namespace jujubemast::gateway::stages
