#include "logging/line_queue.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace jujubemast::logging {

namespace {

enum class reader_state { writable, busy, closed };

/// Checks whether a write of at most PIPE_BUF bytes would block. A pipe without a reader is
/// reported separately, because a write to it would raise SIGPIPE.
reader_state poll_reader(int descriptor) {
    pollfd request{descriptor, POLLOUT, 0};
    if (poll(&request, 1, 0) != 1) {
        return reader_state::busy;
    }
    if ((request.revents & (POLLERR | POLLNVAL)) != 0) {
        return reader_state::closed;
    }
    return (request.revents & POLLOUT) != 0 ? reader_state::writable : reader_state::busy;
}

} // namespace

line_queue::line_queue(int descriptor, std::size_t limit_bytes)
    : m_descriptor{descriptor}, m_limit{limit_bytes} {}

bool line_queue::push(std::string_view line) {
    if (pending_bytes() + line.size() > m_limit) {
        flush();
        if (pending_bytes() + line.size() > m_limit) {
            return false;
        }
    }
    m_pending += line;
    flush();
    return true;
}

void line_queue::flush() {
    while (pending_bytes() > 0) {
        const auto reader = poll_reader(m_descriptor);
        if (reader == reader_state::closed) {
            // Without a reader the buffered lines cannot be delivered, so they are discarded.
            m_written = m_pending.size();
            break;
        }
        if (reader == reader_state::busy) {
            break;
        }
        const auto size = std::min<std::size_t>(pending_bytes(), PIPE_BUF);
        const auto written = write(m_descriptor, m_pending.data() + m_written, size);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                m_written = m_pending.size();
            }
            break;
        }
        m_written += static_cast<std::size_t>(written);
    }
    if (pending_bytes() == 0) {
        m_pending.clear();
        m_written = 0;
    } else if (m_written > m_limit / 2) {
        m_pending.erase(0, m_written);
        m_written = 0;
    }
}

} // namespace jujubemast::logging
