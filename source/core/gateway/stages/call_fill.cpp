#include "gateway/stages/call_fill.h"

#include <algorithm>

namespace jujubemast::gateway::stages {

namespace {

// An instance starts at most 16 calls in the lifetime of a result (250 ms of 4 s), so smaller
// results occupy at most four times the memory of a result that does not fit.
constexpr double max_bypass_share = 0.25;

/// Returns how many of the pieces fit into the memory.
std::size_t count_fitting(double bytes, const waiting_order& order, std::size_t wanted) {
    if (order.result_bytes <= 0) {
        return wanted;
    }
    const double fitting = std::max(0.0, bytes) / order.result_bytes;
    return fitting >= static_cast<double>(wanted) ? wanted : static_cast<std::size_t>(fitting);
}

/// Returns how many pieces of the order the call takes by their number alone. Keeps the pieces of
/// one order in one call where they fit, because a result occupies memory until the other results
/// of its order are complete.
std::size_t count_wanted(const call_room& room, const waiting_order& order) {
    const bool is_split = order.pieces > room.pieces;
    return is_split && room.taken > 0 ? 0 : std::min(order.pieces, room.pieces);
}

void take(call_room& room, const waiting_order& order, std::size_t pieces) {
    const double bytes = order.result_bytes * static_cast<double>(pieces);
    room.pieces -= pieces;
    room.bytes -= bytes;
    room.taken += pieces;
    if (room.lacks_memory) {
        room.bypass_bytes -= bytes;
    }
}

} // namespace

std::size_t fill_with_fitting(call_room& room, const waiting_order& order) {
    const auto wanted = count_wanted(room, order);
    const auto fitting = count_fitting(std::min(room.bytes, room.bypass_bytes), order, wanted);
    take(room, order, fitting);
    if (fitting < wanted) {
        room.lacks_memory = true;
        room.bypass_bytes = std::min(room.bypass_bytes, max_bypass_share * order.result_bytes);
    }
    return fitting;
}

std::size_t fill_until_misfit(call_room& room, const waiting_order& order) {
    const auto wanted = count_wanted(room, order);
    const auto fitting = count_fitting(room.bytes, order, wanted);
    take(room, order, fitting);
    if (fitting < wanted) {
        room.lacks_memory = true;
        room.pieces = 0;
    }
    return fitting;
}

} // namespace jujubemast::gateway::stages
