#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "entry/claim_record.h"
#include "entry/problem.h"
#include "table_service/store.h"

namespace jujubemast::entry {

/// No claim is in force; one may be written on the condition of this version.
struct claim_available {
    std::uint64_t version = 0;
};

/// The row holds this very claim.
struct claim_owned {
    std::uint64_t version = 0;
};

/// The first request has ended; its repeat gets this outcome.
struct claim_completed {
    stored_outcome outcome;
};

/// The request must not run.
struct claim_refused {
    problem content;
};

using claim_evaluation = std::variant<claim_available, claim_owned, claim_completed, claim_refused>;

/// Judges a claim's row for a request with this digest and token. A claim is free only when the row
/// is absent or expired. Past its deadline, a claim in progress reads as unknown outcome; it is
/// never taken over, so a wrong wall clock cannot let a request run twice.
claim_evaluation evaluate_claim(const table_service::row& row, const std::string& digest,
                                const std::string& token, std::int64_t wall_ms);

/// Judges a request that repeats a claim which this entry has in memory.
claim_evaluation evaluate_record(const claim_record& record, const std::string& digest,
                                 std::int64_t wall_ms);

/// The refusal of a request whose claim the store did not confirm in time.
problem claim_not_confirmed();

/// The refusal when the outcome of the first request cannot be known.
problem outcome_not_known();

} // namespace jujubemast::entry
