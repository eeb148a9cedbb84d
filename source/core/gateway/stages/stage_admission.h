#pragma once

#include <array>
#include <string>
#include <string_view>

#include "common/enum_names.h"
#include "gateway/stages/stage_estimator.h"

namespace jujubemast::gateway::stages {

/// Whether a request whose stages may be overloaded is admitted, or why not.
enum class admission_outcome {
    admitted,
    /// The response could not begin in time.
    overloaded,
    /// Results of stages would expire before they are read.
    results_would_expire
};

struct stage_admission {
    admission_outcome outcome = admission_outcome::admitted;
    /// Expected time until the response begins, and the time that it may take.
    common::duration expected = common::duration::zero();
    common::duration allowed = common::duration::zero();
    /// Retry delay if the request is not admitted.
    common::duration retry_after = common::duration::zero();
};

/// Decides on a request to a service before its first stage is ordered. `patience` is the time
/// after which the caller no longer waits for the response to begin. A late response takes capacity
/// from responses that could be on time, so requests that would be late are refused. A request that
/// resumes a stream is refused only if its caller would not wait for it: whether the stream is on
/// time was decided by its first event, and a refusal wastes what was made of it.
stage_admission decide_admission(const stage_estimator& estimator, const staged_request& request,
                                 const std::string& service, common::duration patience,
                                 common::time_point now);

/// Returns the retry delay for a request that would have taken longer by `excess` than it may.
common::duration overload_retry_after(common::duration excess);

} // namespace jujubemast::gateway::stages

namespace jujubemast::common {

template <>
struct enum_names<gateway::stages::admission_outcome> {
    static constexpr std::array<std::string_view, 3> table{"admitted", "stages overloaded",
                                                           "results of stages would lapse"};
};

} // namespace jujubemast::common
