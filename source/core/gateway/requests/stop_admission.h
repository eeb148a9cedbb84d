#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "gateway/configuration.h"
#include "policy/quantile_estimate.h"

namespace jujubemast::gateway::requests {

/// How long the upstreams' responses to each route have taken lately, from the send of the request
/// to the end of the response.
class response_times {
public:
    void record(const std::string& route, common::duration taken);

    /// Returns a time that few responses of the route exceed. Nothing before the first response.
    [[nodiscard]] std::optional<common::duration> long_time(const std::string& route) const;

    /// Forgets the routes that the configuration does not contain.
    void retain_routes(const configuration& current);

private:
    std::map<std::string, policy::quantile_estimate> m_times;
};

/// Whether a request that is sent after the delay `until_sent` may be expected to end within
/// `left`, the time until an ordered stop ends its response. A route without recorded times is
/// assumed to meet its latency target: a gateway that stops soon after its start must not refuse
/// everything. A request that is refused before it is sent can be repeated at another gateway; one
/// that is cut perhaps cannot.
[[nodiscard]] bool can_end_before_stop(const response_times& times, const route& matched_route,
                                       common::duration until_sent, common::duration left);

} // namespace jujubemast::gateway::requests
