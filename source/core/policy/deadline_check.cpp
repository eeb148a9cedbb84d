#include "policy/deadline_check.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::policy {

namespace {

// Long enough to average over several long generations, short enough to follow a sudden overload.
constexpr double usage_window_seconds = 2.0;

// Lower bound of the expected share of a priority that has no floor.
constexpr double min_share = 0.01;

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>{value});
}

} // namespace

bool deadline_check::reachable(common::time_point now, common::time_point deadline,
                               common::duration wait, common::duration service) const {
    return seconds(wait) * m_options.wait_factor + seconds(service) * m_options.service_factor <=
           seconds(deadline - now);
}

common::time_point deadline_check::latest_start(common::time_point deadline,
                                                common::duration service) const {
    return deadline - from_seconds(seconds(service) * m_options.drop_factor);
}

double wait_estimator::current_rate(std::size_t priority, common::time_point now) const {
    const auto& it = m_service_rates.at(priority);
    return it.rate * std::exp(-seconds(now - it.updated_at) / usage_window_seconds);
}

void wait_estimator::record_start(common::priority priority, common::duration cost,
                                  common::time_point now) {
    const auto n = static_cast<std::size_t>(priority);
    const double rate = current_rate(n, now) + seconds(cost) / usage_window_seconds;
    m_service_rates.at(n) = {rate, now};
}

common::duration wait_estimator::wait(const queue_hooks& queue, common::priority priority,
                                      common::duration cost_ahead, double limit,
                                      common::time_point now) const {
    if (!queue.by_priority) {
        return from_seconds(seconds(cost_ahead) / limit);
    }
    const auto own_index = static_cast<std::size_t>(priority);
    const double floor = m_floors.at(own_index);
    double share = 1.0;
    double more_urgent_cost = 0.0;
    for (std::size_t n = 0; n < m_service_rates.size(); ++n) {
        const double used_share = current_rate(n, now) / limit;
        if (n < own_index) {
            share -= used_share;
            more_urgent_cost += seconds(queue.cost(static_cast<common::priority>(n)));
        } else if (n > own_index) {
            share -= std::min(used_share, m_floors.at(n));
        }
    }
    share = std::clamp(share, std::max(floor, min_share), 1.0);
    const double by_share = (seconds(cost_ahead) + more_urgent_cost) / (limit * share);
    const double by_floor = floor > 0.0 ? seconds(cost_ahead) / (limit * floor) : by_share;
    return from_seconds(std::min(by_share, by_floor));
}

} // namespace jujubemast::policy
