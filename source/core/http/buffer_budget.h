#pragma once

#include <cstddef>
#include <limits>

namespace jujubemast::http {

/// Bounds the memory for bytes that many holders, such as connections, buffer at the same time. A
/// holder may take at most half of what is free (a dynamic threshold): few large holders can use
/// most of the memory, and many of them leave room for small ones.
class buffer_budget {
public:
    /// Without a limit all reservations succeed.
    explicit buffer_budget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : m_limit{limit} {}

    /// Accounts for `added` bytes of a holder that has `held` bytes already. Returns false, and
    /// accounts for nothing, if the holder would have more than its share.
    [[nodiscard]] bool reserve(std::size_t held, std::size_t added);

    void release(std::size_t bytes) { m_reserved -= bytes; }

    [[nodiscard]] std::size_t reserved() const { return m_reserved; }

private:
    std::size_t m_limit;
    std::size_t m_reserved = 0;
};

} // namespace jujubemast::http
