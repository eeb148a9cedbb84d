#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jujubemast::logging {

/// Writes lines to a pipe, terminal or file without ever waiting for its reader. What the reader
/// does not take stays here up to a limit.
class line_queue {
public:
    /// Does not own the descriptor.
    line_queue(int descriptor, std::size_t limit_bytes);

    /// Adds a line and writes what can be written at once. Returns false if there is no room; the
    /// line is then lost.
    bool push(std::string_view line);

    /// Writes what can be written at once.
    void flush();

    /// Bytes that wait for the reader.
    [[nodiscard]] std::size_t pending_bytes() const { return m_pending.size() - m_written; }

private:
    int m_descriptor;
    std::size_t m_limit;
    std::string m_pending;
    /// Bytes at the start of `m_pending` that are already written.
    std::size_t m_written = 0;
};

} // namespace jujubemast::logging
