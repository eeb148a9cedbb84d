#include "entry/claim_decision.h"

namespace jujubemast::entry {

problem unconfirmed_claim_problem() {
    return {problem_kind::store_unavailable, common::execution::not_run,
            "the claim of the idempotency key could not be recorded", 1};
}

problem unknown_outcome_problem() {
    return {problem_kind::unknown_outcome, common::execution::unknown,
            "the outcome of the first request with this idempotency key is not known"};
}

claim_evaluation evaluate_record(const claim_record& record, const std::string& digest,
                                 std::int64_t wall_ms) {
    if (record.digest != digest) {
        return claim_refused{{problem_kind::idempotency_conflict, common::execution::not_run,
                              "the idempotency key was used with another request"}};
    }
    switch (record.outcome.state) {
    case claim_state::in_progress:
        if (wall_ms > record.deadline_ms) {
            return claim_refused{unknown_outcome_problem()};
        }
        // The first request may already have run, so the response to its repeat must not report
        // `not_run`.
        return claim_refused{{problem_kind::request_in_progress, common::execution::unknown,
                              "the first request with this idempotency key is in progress", 1}};
    case claim_state::done:
    case claim_state::failed:
        return claim_completed{record.outcome};
    case claim_state::unknown:
        break;
    }
    return claim_refused{unknown_outcome_problem()};
}

claim_evaluation evaluate_claim(const table_service::row& row, const std::string& digest,
                                const std::string& token, std::int64_t wall_ms) {
    if (row.value.is_null()) {
        return claim_available{row.version};
    }
    const auto record = claim_from_json(row.value);
    if (!record) {
        return claim_refused{unknown_outcome_problem()};
    }
    if (record->token == token && record->outcome.state == claim_state::in_progress) {
        return claim_owned{row.version};
    }
    if (wall_ms > record->expiry_ms) {
        return claim_available{row.version};
    }
    return evaluate_record(*record, digest, wall_ms);
}

} // namespace jujubemast::entry
