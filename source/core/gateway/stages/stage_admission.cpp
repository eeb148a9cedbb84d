#include "gateway/stages/stage_admission.h"

#include <algorithm>

namespace jujubemast::gateway::stages {

namespace {

// A new request is admitted if its stages are expected to finish within this share of the available
// time. The rest is reserved for later requests with a more urgent priority.
constexpr double admission_share = 0.7;
// The stages may wait for this share of the time that is left to a response on time. The rest is
// reserved for requests that arrive later with an earlier target time.
constexpr double waiting_share = 0.8;
// Bounds of the retry delay after a refusal for overload. Such a request can no longer meet its
// latency target, and a retry during the same overload is refused again.
constexpr common::duration min_overload_retry = std::chrono::seconds{2};
constexpr common::duration max_overload_retry = std::chrono::seconds{6};

common::duration share_of(common::duration time, double share) {
    return std::chrono::duration_cast<common::duration>(time * share);
}

} // namespace

stage_admission decide_admission(const stage_estimator& estimator, const staged_request& request,
                                 const std::string& service, common::duration patience,
                                 common::time_point now) {
    stage_admission result;
    result.expected =
        estimator.expected_stages(request, now) + estimator.expected_first_event(service, now);
    result.allowed = patience;
    if (!request.resumes) {
        const auto shortest = estimator.shortest_stages(request);
        const auto spare = request.matched_route.latency_target - shortest;
        result.allowed = std::min(share_of(patience, admission_share),
                                  shortest + share_of(spare, waiting_share));
    }
    if (result.expected > result.allowed) {
        result.outcome = admission_outcome::overloaded;
        result.retry_after = overload_retry_after(result.expected - result.allowed);
    } else if (estimator.results_would_expire(request, now)) {
        result.outcome = admission_outcome::results_would_expire;
        result.retry_after = overload_retry_after(common::duration::zero());
    }
    return result;
}

common::duration overload_retry_after(common::duration excess) {
    return std::clamp(excess, min_overload_retry, max_overload_retry);
}

} // namespace jujubemast::gateway::stages
