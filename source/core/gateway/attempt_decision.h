#pragma once

#include <array>
#include <string_view>

#include "common/enum_names.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway {

/// How an attempt to run a request at an upstream ended.
enum class attempt_end {
    /// The request never left, for example because the connection was refused.
    not_sent,
    /// The upstream states that it has not run the request.
    refused,
    /// A result of the request's stages no longer exists; the request has not run.
    input_gone,
    /// A whole answer that reports a failure of the upstream.
    failed,
    /// The connection broke, fell silent, or carried something else than an answer.
    broken,
    /// As `broken`, after events of the stream had been passed on.
    broken_midway
};

/// What follows.
enum class next_step {
    /// Send the request to another upstream, a stream after its last event.
    retry,
    /// Make the stages again, then send.
    remake_inputs,
    /// Pass the upstream's answer on.
    pass_on,
    /// Refuse: the request has not run and will not.
    refuse,
    /// Report a failure that promises nothing.
    fail,
    /// Close the caller's connection, so that the answer is seen to be incomplete.
    abort
};

/// What the decision depends on.
struct attempt_facts {
    attempt_end end = attempt_end::broken;
    repeatability kind = repeatability::non_idempotent;
    bool resumable = false;
    /// Attempts that may have run, with this one.
    unsigned possible_runs = 0;
    unsigned max_attempts = 1;
    /// All sends, with those that certainly did not run.
    unsigned sends = 0;
    /// Enough time is left for another attempt.
    bool time_left = false;
    /// Takes one repetition from the retry budget; asked only when the repetition is allowed.
    bool budget_left = false;
    /// Another upstream of the service takes work.
    bool alternative_available = false;
};

/// A request that no upstream runs is sent at most this often.
inline constexpr unsigned max_sends = 4;

/// Decides what follows the end of an attempt. A request that may have run is sent again only if
/// that is allowed by its kind and by the route's number of attempts.
next_step decide_next_step(const attempt_facts& facts);

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::attempt_end> {
    static constexpr std::array<std::string_view, 6> table{"not_sent", "refused", "input_gone",
                                                           "failed",   "broken",  "broken_midway"};
};

template <>
struct enum_names<gateway::next_step> {
    static constexpr std::array<std::string_view, 6> table{"retry",  "remake_inputs", "pass_on",
                                                           "refuse", "fail",          "abort"};
};

} // namespace jujubemast::common
