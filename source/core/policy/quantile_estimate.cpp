#include "policy/quantile_estimate.h"

#include <algorithm>

namespace jujubemast::policy {

void quantile_estimate::add(double sample) {
    ++m_count;
    if (m_count == 1) {
        m_value = sample;
        return;
    }
    // The first steps are large to find the scale quickly; later ones are small for a stable
    // estimate.
    constexpr double max_step = 0.5;
    constexpr double min_step = 0.02;
    const double step = std::max(min_step, max_step / static_cast<double>(m_count)) * m_value;
    m_value += sample > m_value ? step * m_quantile : -step * (1 - m_quantile);
}

} // namespace jujubemast::policy
