#include "gateway/estimate_bias.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::gateway {

namespace {

// About the last twenty observations count.
constexpr double weight = 0.05;
// One very late observation, for example after a crash, does not distort the average for long.
constexpr double least_quotient = 0.3;
constexpr double largest_quotient = 3;
constexpr std::chrono::duration<double> forgetting_time{3};

} // namespace

void estimate_bias::record(common::duration estimate, common::duration actual,
                           common::time_point now) {
    if (estimate <= common::duration::zero()) {
        return;
    }
    const double observed =
        std::clamp(std::chrono::duration<double>(actual) / std::chrono::duration<double>(estimate),
                   least_quotient, largest_quotient);
    m_quotient = quotient(now);
    m_quotient += weight * (observed - m_quotient);
    m_recorded = now;
}

common::duration estimate_bias::apply(common::duration estimate, common::time_point now) const {
    return std::chrono::duration_cast<common::duration>(estimate * quotient(now));
}

double estimate_bias::quotient(common::time_point now) const {
    const std::chrono::duration<double> unobserved = now - m_recorded;
    return 1 + (m_quotient - 1) * std::exp(-std::max(0.0, unobserved / forgetting_time));
}

} // namespace jujubemast::gateway
