#include "policy/deadline_check.h"

#include <algorithm>
#include <cmath>

namespace jujubemast::policy {

namespace {

// Long enough to average over several long generations, short enough to follow a flood.
constexpr double usage_window_seconds = 2.0;

// Share that the least favoured priority is expected to get without a floor.
constexpr double least_share = 0.01;

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

double wait_estimate::rate_of(std::size_t priority, common::time_point now) const {
    const auto& it = m_usage.at(priority);
    return it.rate * std::exp(-seconds(now - it.at) / usage_window_seconds);
}

void wait_estimate::started(common::priority priority, common::duration cost,
                            common::time_point now) {
    const auto n = static_cast<std::size_t>(priority);
    const double rate = rate_of(n, now) + seconds(cost) / usage_window_seconds;
    m_usage.at(n) = {rate, now};
}

common::duration wait_estimate::wait(const queue_hooks& queue, common::priority priority,
                                     common::duration ahead, double limit,
                                     common::time_point now) const {
    if (!queue.by_priority) {
        return from_seconds(seconds(ahead) / limit);
    }
    const auto own = static_cast<std::size_t>(priority);
    const double floor = m_floors.at(own);
    double share = 1.0;
    double more_urgent = 0.0;
    for (std::size_t n = 0; n < m_usage.size(); ++n) {
        const double used = rate_of(n, now) / limit;
        if (n < own) {
            share -= used;
            more_urgent += seconds(queue.cost(static_cast<common::priority>(n)));
        } else if (n > own) {
            share -= std::min(used, m_floors.at(n));
        }
    }
    share = std::clamp(share, std::max(floor, least_share), 1.0);
    const double by_share = (seconds(ahead) + more_urgent) / (limit * share);
    const double by_floor = floor > 0.0 ? seconds(ahead) / (limit * floor) : by_share;
    return from_seconds(std::min(by_share, by_floor));
}

} // namespace jujubemast::policy
