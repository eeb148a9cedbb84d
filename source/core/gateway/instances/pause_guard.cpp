#include "gateway/instances/pause_guard.h"

#include <utility>

namespace jujubemast::gateway::instances {

bool pause_guard::allows_work(common::time_point now) {
    const auto last = std::exchange(m_last_running, now);
    if (last && now - *last >= m_limits.min_pause) {
        m_held_since = now;
    }
    return !m_held_since;
}

bool pause_guard::record_confirmed(common::time_point at) {
    if (!m_held_since || at < *m_held_since - m_limits.detection_delay) {
        return false;
    }
    m_held_since.reset();
    return true;
}

bool pause_guard::end_hold_if_due(common::time_point now) {
    if (allows_work(now) || now - *m_held_since < m_limits.max_hold) {
        return false;
    }
    m_held_since.reset();
    return true;
}

} // namespace jujubemast::gateway::instances
