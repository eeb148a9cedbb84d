#include "gateway/stages/estimate_bias.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::gateway::stages {

namespace {

// The average covers about the last twenty observations.
constexpr double smoothing_factor = 0.05;
// The limits keep a single very late observation, for example after a crash, from distorting the
// average for long.
constexpr double min_ratio = 0.3;
constexpr double max_ratio = 3;
constexpr std::chrono::duration<double> decay_time{3};

} // namespace

void estimate_bias::record(common::duration estimate, common::duration actual,
                           common::time_point now) {
    if (estimate <= common::duration::zero()) {
        return;
    }
    const double observed =
        std::clamp(std::chrono::duration<double>(actual) / std::chrono::duration<double>(estimate),
                   min_ratio, max_ratio);
    m_ratio = ratio(now);
    m_ratio += smoothing_factor * (observed - m_ratio);
    m_recorded = now;
}

common::duration estimate_bias::apply(common::duration estimate, common::time_point now) const {
    return std::chrono::duration_cast<common::duration>(estimate * ratio(now));
}

double estimate_bias::ratio(common::time_point now) const {
    const std::chrono::duration<double> unobserved = now - m_recorded;
    return 1 + (m_ratio - 1) * std::exp(-std::max(0.0, unobserved / decay_time));
}

} // namespace jujubemast::gateway::stages
