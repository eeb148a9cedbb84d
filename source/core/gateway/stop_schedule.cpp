#include "gateway/stop_schedule.h"

#include <algorithm>

#include "common/error.h"
#include "gateway/gateway_settings.h"

namespace jujubemast::gateway {

namespace {

// Longest waits after the requests have ended. With a short grace, shares of it apply.
constexpr common::duration max_unregister = std::chrono::milliseconds{500};
constexpr common::duration max_acknowledgement = std::chrono::milliseconds{500};
constexpr common::duration max_exit = std::chrono::milliseconds{100};
constexpr double unregister_share = 0.0625;
constexpr double acknowledgement_share = 0.0625;
constexpr double exit_share = 0.0125;
// Connections are accepted during at most this share of the time until the limit, so that requests
// on the last of them can end.
constexpr double accept_share = 0.5;

common::duration share_of(common::duration time, double share) {
    return std::chrono::duration_cast<common::duration>(time * share);
}

common::duration exit_time(common::duration grace) {
    return std::min(max_exit, share_of(grace, exit_share));
}

} // namespace

stop_schedule make_stop_schedule(common::duration grace, common::duration accept) {
    stop_schedule result;
    result.unregister = std::min(max_unregister, share_of(grace, unregister_share));
    result.acknowledgement = std::min(max_acknowledgement, share_of(grace, acknowledgement_share));
    result.limit = grace - result.unregister - result.acknowledgement - exit_time(grace);
    result.accept = std::min(accept, share_of(result.limit, accept_share));
    return result;
}

stop_schedule make_stop_schedule(const settings::values& values) {
    const auto grace = std::chrono::duration_cast<common::duration>(
        std::chrono::duration<double>{values.get(gateway_settings::termination_grace)});
    const auto accept = values.get(gateway_settings::callers_stop_grace);
    auto result = make_stop_schedule(grace, accept);
    const common::duration limit = values.get(gateway_settings::callers_stop_limit);
    if (limit == common::duration::zero()) {
        return result;
    }
    if (limit > result.limit) {
        throw common::settings_error{
            "callers.stop_limit_ms: the process would be killed before it has ended; at most " +
            std::to_string(static_cast<std::int64_t>(common::to_milliseconds(result.limit))) +
            " fits into instance.termination_grace_s"};
    }
    if (accept > limit) {
        throw common::settings_error{
            "callers.stop_grace_ms: must not be greater than callers.stop_limit_ms"};
    }
    result.limit = limit;
    result.accept = accept;
    return result;
}

} // namespace jujubemast::gateway
