#include "logging/line_queue.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace jujubemast::logging {

namespace {

/// A write of at most PIPE_BUF bytes does not block on a pipe that is reported as writable.
bool is_writable(int descriptor) {
    pollfd question{descriptor, POLLOUT, 0};
    return poll(&question, 1, 0) == 1 && (question.revents & (POLLOUT | POLLERR)) != 0;
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
    while (pending_bytes() > 0 && is_writable(m_descriptor)) {
        const auto size = std::min<std::size_t>(pending_bytes(), PIPE_BUF);
        const auto written = write(m_descriptor, m_pending.data() + m_written, size);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                // The reader has gone for good, and there is nobody left to tell.
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
