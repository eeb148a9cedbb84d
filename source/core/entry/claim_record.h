#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/value.hpp>

#include "common/enum_names.h"

namespace jujubemast::entry {

/// State of a claimed request as recorded in the claim's row.
enum class claim_state { in_progress, done, failed, unknown };

/// How a claimed request ended: the HTTP response that its repeats receive again.
struct stored_outcome {
    claim_state state = claim_state::unknown;
    unsigned status = 0;
    /// The response or the problem details as JSON. Empty if it was too large to store.
    std::string document;
};

/// The stored row of an idempotency key. Times are in milliseconds since 1970.
struct claim_record {
    std::string digest;
    std::string token;
    std::int64_t deadline_ms = 0;
    std::int64_t expiry_ms = 0;
    stored_outcome outcome{claim_state::in_progress, 0, {}};
};

boost::json::value to_json(const claim_record& record);

/// Decodes the value of a claim's row. Returns nullopt if the value is not a valid claim.
std::optional<claim_record> claim_from_json(const boost::json::value& value);

/// Returns the key of the row that stores an idempotency key of a workspace.
std::string claim_row_key(const std::string& workspace, const std::string& key);

} // namespace jujubemast::entry

namespace jujubemast::common {

template <>
struct enum_names<entry::claim_state> {
    static constexpr std::array<std::string_view, 4> table{"in_progress", "done", "failed",
                                                           "unknown"};
};

} // namespace jujubemast::common
