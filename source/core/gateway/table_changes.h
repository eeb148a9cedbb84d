#pragma once

#include <cstdint>
#include <vector>

#include "gateway/adapter.h"

namespace jujubemast::gateway {

/// Changes of a table that one gateway passes on to another. They contain the last state of every
/// row whose content differs between `since` and `version`; rows that were only rewritten are left
/// out.
struct table_changes {
    store_table table = store_table::configuration;
    std::uint64_t since = 0;
    std::uint64_t version = 0;
    /// Digest of the contents of all rows at `version`.
    std::uint64_t digest = 0;
    std::vector<store_row> rows;
};

} // namespace jujubemast::gateway
