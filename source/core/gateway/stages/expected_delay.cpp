#include "gateway/stages/expected_delay.h"

#include <algorithm>

namespace jujubemast::gateway::stages {

namespace {

/// The last range has no upper bound and counts as wide as the one before.
common::duration upper_bound_of(std::size_t range) {
    return range < slack_bounds.size() ? slack_bounds.at(range) : 2 * slack_bounds.back();
}

common::duration middle_of(std::size_t range) {
    return (slack_bounds.at(range - 1) + upper_bound_of(range)) / 2;
}

/// Returns the share of the pieces of a range whose slack is smaller than `slack`, if they are
/// spread evenly over the range.
double share_below(std::size_t range, common::duration slack) {
    const auto lower = slack_bounds.at(range - 1);
    const std::chrono::duration<double> width = upper_bound_of(range) - lower;
    return std::clamp(std::chrono::duration<double>(slack - lower) / width, 0.0, 1.0);
}

} // namespace

double pieces_ahead_by_target(const service_backlog& backlog, const new_pieces& added,
                              common::duration wait) {
    const bool is_late = added.slack < slack_bounds.front();
    double ahead = 0;
    for (const auto& it : backlog.waiting) {
        const auto pieces = static_cast<double>(it.pieces);
        // Time in which pieces of this kind that are ordered later overtake the new ones.
        auto window = common::duration::zero();
        if (it.priority < added.priority) {
            ahead += pieces;
            window = wait;
        } else if (it.priority == added.priority && is_late) {
            ahead += pieces;
            window = it.range > 0 ? wait : window;
        } else if (it.priority == added.priority && it.range > 0) {
            ahead += pieces * share_below(it.range, added.slack);
            window = std::clamp(added.slack - middle_of(it.range), window, wait);
        }
        ahead += it.ordered_per_s * std::chrono::duration<double>(window).count();
    }
    return ahead;
}

double pieces_ahead_by_priority(const service_backlog& backlog, const new_pieces& added,
                                common::duration /*wait*/) {
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
    // The pieces that overtake make the wait longer, and then more of them overtake. The wait grows
    // from step to step to its value, or beyond the limit if more is ordered than is made.
    constexpr int steps = 8;
    auto wait = common::duration::zero();
    for (int n = 0; n < steps && wait < max_expected_delay; ++n) {
        const double rounds =
            std::max(0.0, pieces_ahead(backlog, added, wait) / per_round - rounds_meanwhile);
        wait = std::chrono::duration_cast<common::duration>(full * rounds);
    }
    const double busy_share = static_cast<double>(backlog.busy) /
                              static_cast<double>(std::max<std::size_t>(1, backlog.instances));
    const auto until_free = std::chrono::duration_cast<common::duration>(full * (0.5 * busy_share));
    return std::min(max_expected_delay, own + wait + until_free);
}

} // namespace jujubemast::gateway::stages
