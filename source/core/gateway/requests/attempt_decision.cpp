#include "gateway/requests/attempt_decision.h"

namespace jujubemast::gateway::requests {

namespace {

/// Whether a request that may have run already may run again.
bool may_repeat(const attempt_facts& facts) {
    return facts.kind == repeatability::idempotent ||
           (facts.kind == repeatability::stream && facts.resumable);
}

} // namespace

bool is_certainly_not_run(attempt_end end) {
    return end == attempt_end::not_sent || end == attempt_end::refused ||
           end == attempt_end::input_gone;
}

bool uses_retry_budget(attempt_end end) {
    return end != attempt_end::not_sent;
}

next_step decide_next_step(const attempt_facts& facts) {
    const bool has_budget = facts.budget_left || !uses_retry_budget(facts.end);
    const bool can_send = facts.time_left && facts.sends < max_sends && has_budget;
    if (is_certainly_not_run(facts.end)) {
        if (can_send && facts.end == attempt_end::input_gone) {
            return next_step::remake_inputs;
        }
        if (can_send && facts.alternative_available) {
            return next_step::retry;
        }
        return facts.possible_runs == 0 ? next_step::refuse : next_step::fail;
    }
    const bool should_retry = can_send && facts.alternative_available && may_repeat(facts) &&
                              facts.possible_runs < facts.max_attempts;
    if (should_retry) {
        return next_step::retry;
    }
    switch (facts.end) {
    case attempt_end::failed:
        return next_step::pass_on;
    case attempt_end::broken_midway:
        return next_step::abort;
    case attempt_end::broken:
    case attempt_end::not_sent:
    case attempt_end::refused:
    case attempt_end::input_gone:
        return next_step::fail;
    }
    return next_step::fail;
}

} // namespace jujubemast::gateway::requests
