#pragma once

#include <cstdint>
#include <vector>

#include "gateway/adapter.h"
#include "gateway/store_position.h"

namespace jujubemast::gateway {

/// Changes of a table that one gateway passes on to another. They contain the last state of every
/// row whose content differs between `since` and `until`, which belong to the same era; rows that
/// were only rewritten are left out.
struct table_changes {
    store_table table = store_table::configuration;
    store_position since;
    store_position until;
    /// Digest of the contents of all rows at `until`.
    std::uint64_t digest = 0;
    std::vector<store_row> rows;
};

} // namespace jujubemast::gateway
