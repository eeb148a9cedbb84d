#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway {

/// Lower bounds of the ranges of slack, the time until the target time of a piece. Pieces whose
/// target time has passed are below the first bound, in the range 0.
inline constexpr std::array<common::duration, 5> slack_bounds{
    std::chrono::seconds{0}, std::chrono::milliseconds{500}, std::chrono::seconds{1},
    std::chrono::seconds{2}, std::chrono::seconds{4}};

/// Returns the range of a slack, from 0 to the number of bounds.
std::size_t slack_range(common::duration slack);

/// Waiting pieces of one priority and one range of slack.
struct waiting_pieces {
    int priority = 0;
    std::size_t range = 0;
    std::size_t pieces = 0;
    /// Pieces of this kind that are ordered in a second.
    double ordered_per_s = 0;

    friend bool operator==(const waiting_pieces&, const waiting_pieces&) = default;
};

/// The backlog of one service, as its owner reports it.
struct service_backlog {
    std::string service;
    std::vector<waiting_pieces> waiting;
    /// Number of instances that accept calls, and how many of them are busy.
    std::size_t instances = 0;
    std::size_t busy = 0;
    /// Share of the instances' call time that produces results.
    double goodput = 1;
};

} // namespace jujubemast::gateway
