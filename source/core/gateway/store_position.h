#pragma once

#include <compare>
#include <cstdint>

namespace jujubemast::gateway {

/// A position in the history of the store. Versions grow within an era. A store that is restored
/// from an older copy begins the next era, in which it gives out versions again. So positions are
/// compared by era first.
struct store_position {
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace jujubemast::gateway
