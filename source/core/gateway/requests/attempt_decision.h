#pragma once

#include <array>
#include <string_view>

#include "common/enum_names.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway::requests {

/// How an attempt to run a request at an upstream ended.
enum class attempt_end {
    /// The request was not sent, for example because the connection was refused.
    not_sent,
    /// The upstream states that it has not run the request.
    refused,
    /// A stage result that the request needs no longer exists. The request has not run.
    input_gone,
    /// The response is complete and reports a failure of the upstream.
    failed,
    /// The connection broke, timed out, or carried something other than a valid response.
    broken,
    /// As `broken`, but after events of the stream were passed on to the caller.
    broken_midway
};

/// The action that follows an attempt without a good response.
enum class next_step {
    /// Send the request to another upstream. A stream resumes after its last event.
    retry,
    /// Run the stages again, then send the request.
    remake_inputs,
    /// Pass the upstream's response on to the caller.
    pass_on,
    /// Refuse the request: it has not run and will not run.
    refuse,
    /// Report a failure that does not state whether the request has run.
    fail,
    /// Close the caller's connection, so that the caller recognizes the response as incomplete.
    abort
};

/// Input of the decision.
struct attempt_facts {
    attempt_end end = attempt_end::broken;
    repeatability kind = repeatability::non_idempotent;
    bool resumable = false;
    /// Number of attempts that may have run, including this one.
    unsigned possible_runs = 0;
    unsigned max_attempts = 1;
    /// Number of times the request was sent, including attempts that certainly did not run.
    unsigned sends = 0;
    /// Whether enough time is left for another attempt.
    bool time_left = false;
    /// Whether the retry budget allows another attempt, if the end of this one uses the budget. A
    /// retry is taken from it only once all other conditions allow the retry.
    bool budget_left = false;
    /// Whether another upstream of the service accepts work.
    bool alternative_available = false;
};

/// Limit on sends of a request that no upstream runs.
inline constexpr unsigned max_sends = 4;

/// Whether an attempt with this end has certainly not run and never will.
bool is_certainly_not_run(attempt_end end);

/// Whether sending the request again is taken from the retry budget. The budget bounds the work
/// that retries add; an attempt that was not sent has added none.
bool uses_retry_budget(attempt_end end);

/// Decides what follows the end of an attempt. A request that may have run is sent again only if
/// its kind and the route's maximum number of attempts allow it.
next_step decide_next_step(const attempt_facts& facts);

} // namespace jujubemast::gateway::requests

namespace jujubemast::common {

template <>
struct enum_names<gateway::requests::attempt_end> {
    static constexpr std::array<std::string_view, 6> table{"not_sent", "refused", "input_gone",
                                                           "failed",   "broken",  "broken_midway"};
};

template <>
struct enum_names<gateway::requests::next_step> {
    static constexpr std::array<std::string_view, 6> table{"retry",  "remake_inputs", "pass_on",
                                                           "refuse", "fail",          "abort"};
};

} // namespace jujubemast::common
