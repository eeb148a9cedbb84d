#pragma once

#include <cstdint>

#include "gateway/adapter.h"

namespace jujubemast::gateway::store {

// Digests of what the gateways use of a row. A row that is rewritten with the same content, for
// example as a heartbeat, keeps its digest.

std::uint64_t row_digest(const configuration& content);
/// Digest of a row that could not be decoded, from its bytes.
std::uint64_t undecoded_row_digest(const store_row& row);
/// Digest of the bytes and the version of a row. A row that was deleted and written again with the
/// same bytes gets another one.
std::uint64_t versioned_row_digest(const store_row& row);
std::uint64_t row_digest(const upstream_instance& content);
std::uint64_t row_digest(const gateway_record& content);

} // namespace jujubemast::gateway::store
