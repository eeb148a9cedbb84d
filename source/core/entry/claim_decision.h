#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "entry/claim_record.h"
#include "entry/problem.h"
#include "table_service/store.h"

namespace jujubemast::entry {

/// The row holds no valid claim. A new one may be written if the row still has this version.
struct claim_available {
    std::uint64_t version = 0;
};

/// The row holds the claim of this same request, which is recognized by its token.
struct claim_owned {
    std::uint64_t version = 0;
};

/// The first request has ended. Its repeat receives this outcome.
struct claim_completed {
    stored_outcome outcome;
};

/// The request must not run and is answered with this problem.
struct claim_refused {
    problem content;
};

using claim_evaluation = std::variant<claim_available, claim_owned, claim_completed, claim_refused>;

/// Evaluates the stored row of a claim for a request with this digest and token. The key is
/// available only if the row is absent or expired. A claim that is still in progress after its
/// deadline counts as an unknown outcome. It is never taken over, so that a wrong wall clock cannot
/// let a request run twice.
claim_evaluation evaluate_claim(const table_service::row& row, const std::string& digest,
                                const std::string& token, std::int64_t wall_ms);

/// Evaluates a repeated request against a claim that this entry holds in memory.
claim_evaluation evaluate_record(const claim_record& record, const std::string& digest,
                                 std::int64_t wall_ms);

/// Returns the problem for a request whose claim the store did not confirm in time.
problem unconfirmed_claim_problem();

/// Returns the problem for a repeat when the outcome of the first request cannot be determined.
problem unknown_outcome_problem();

} // namespace jujubemast::entry
