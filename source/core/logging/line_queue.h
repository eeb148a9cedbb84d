#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jujubemast::logging {

/// Writes lines to a pipe, terminal or file without blocking on its reader. Lines that the reader
/// has not taken are buffered up to a limit.
class line_queue {
public:
    /// Does not own the descriptor.
    line_queue(int descriptor, std::size_t limit_bytes);

    /// Appends a line and writes what can be written without blocking. When the buffer is full,
    /// drops the line and returns false.
    bool push(std::string_view line);

    /// Writes what can be written without blocking.
    void flush();

    /// Buffered bytes that are not yet written.
    [[nodiscard]] std::size_t pending_bytes() const { return m_pending.size() - m_written; }

private:
    int m_descriptor;
    std::size_t m_limit;
    std::string m_pending;
    /// Bytes at the start of `m_pending` that are already written.
    std::size_t m_written = 0;
};

} // namespace jujubemast::logging
