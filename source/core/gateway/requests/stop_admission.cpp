#include "gateway/requests/stop_admission.h"

#include <algorithm>

namespace jujubemast::gateway::requests {

namespace {

// Share of the responses that end within the estimate.
constexpr double long_time_quantile = 0.95;

} // namespace

void response_times::record(const std::string& route, common::duration taken) {
    m_times.try_emplace(route, long_time_quantile)
        .first->second.add(std::chrono::duration<double>{taken}.count());
}

std::optional<common::duration> response_times::long_time(const std::string& route) const {
    const auto known = m_times.find(route);
    if (known == m_times.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>{known->second.value()});
}

void response_times::retain_routes(const configuration& current) {
    std::erase_if(m_times, [&](const auto& it) {
        return std::none_of(current.routes.begin(), current.routes.end(),
                            [&](const route& known) { return known.name == it.first; });
    });
}

bool can_end_before_stop(const response_times& times, const route& matched_route,
                         common::duration until_sent, common::duration left) {
    const auto taken = times.long_time(matched_route.name).value_or(matched_route.latency_target);
    return until_sent + taken <= left;
}

} // namespace jujubemast::gateway::requests
