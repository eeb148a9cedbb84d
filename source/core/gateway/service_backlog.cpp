#include "gateway/service_backlog.h"

#include <algorithm>

namespace jujubemast::gateway {

namespace {

/// Returns the share of the pieces of a range whose slack is smaller than `slack`, if they are
/// spread evenly over the range. The last range has no upper bound and counts as wide as the one
/// before.
double share_below(std::size_t range, common::duration slack) {
    const auto lower = slack_bounds.at(range - 1);
    const auto upper =
        range < slack_bounds.size() ? slack_bounds.at(range) : 2 * slack_bounds.back();
    const std::chrono::duration<double> width = upper - lower;
    return std::clamp(std::chrono::duration<double>(slack - lower) / width, 0.0, 1.0);
}

} // namespace

std::size_t slack_range(common::duration slack) {
    return static_cast<std::size_t>(
        std::upper_bound(slack_bounds.begin(), slack_bounds.end(), slack) - slack_bounds.begin());
}

double pieces_ahead_by_target(const service_backlog& backlog, const new_pieces& added) {
    const bool is_late = added.slack < slack_bounds.front();
    double ahead = 0;
    for (const auto& it : backlog.waiting) {
        const auto pieces = static_cast<double>(it.pieces);
        if (it.priority < added.priority || (it.priority == added.priority && is_late)) {
            ahead += pieces;
        } else if (it.priority == added.priority && it.range > 0) {
            ahead += pieces * share_below(it.range, added.slack);
        }
    }
    return ahead;
}

double pieces_ahead_by_priority(const service_backlog& backlog, const new_pieces& added) {
    double ahead = 0;
    for (const auto& it : backlog.waiting) {
        ahead += it.priority <= added.priority ? static_cast<double>(it.pieces) : 0;
    }
    return ahead;
}

piece_limits sustained_limits(const piece_limits& limits, double result_bytes) {
    auto result = limits;
    if (result_bytes > 0 && limits.result_memory_bytes > 0) {
        const double fitting = limits.result_memory_bytes / result_bytes / 2;
        result.batch =
            static_cast<std::size_t>(std::clamp(fitting, 1.0, static_cast<double>(limits.batch)));
    }
    return result;
}

common::duration call_time(const piece_limits& limits, std::size_t pieces) {
    return limits.call_time + limits.piece_time * static_cast<std::int64_t>(pieces);
}

common::duration expected_delay(const piece_limits& limits, const service_backlog& backlog,
                                const new_pieces& added, const pieces_ahead_hook& pieces_ahead) {
    const double per_round =
        std::max(1.0, backlog.goodput *
                          static_cast<double>(limits.batch * limits.slots * backlog.instances));
    const auto own = call_time(limits, std::min(added.count, limits.batch));
    const auto full = call_time(limits, limits.batch);
    const double rounds_meanwhile =
        std::chrono::duration<double>(added.start) / std::chrono::duration<double>(full);
    const double rounds =
        std::max(0.0, pieces_ahead(backlog, added) / per_round - rounds_meanwhile);
    const double busy_share = static_cast<double>(backlog.busy) /
                              static_cast<double>(std::max<std::size_t>(1, backlog.instances));
    return own + std::chrono::duration_cast<common::duration>(full * (rounds + 0.5 * busy_share));
}

} // namespace jujubemast::gateway
