#include "gateway/estimate_bias.h"

#include <algorithm>

namespace jujubemast::gateway {

namespace {

// About the last twenty observations count.
constexpr double weight = 0.05;
// One very late observation, for example after a crash, does not distort the average for long.
constexpr double least_quotient = 0.3;
constexpr double largest_quotient = 3;

} // namespace

void estimate_bias::record(common::duration estimate, common::duration actual) {
    if (estimate <= common::duration::zero()) {
        return;
    }
    const double quotient =
        std::clamp(std::chrono::duration<double>(actual) / std::chrono::duration<double>(estimate),
                   least_quotient, largest_quotient);
    m_quotient += weight * (quotient - m_quotient);
}

common::duration estimate_bias::apply(common::duration estimate) const {
    return std::chrono::duration_cast<common::duration>(estimate * m_quotient);
}

} // namespace jujubemast::gateway
