#include "runtime/restart_window.h"

namespace jujubemast::runtime {

bool restart_window::record(common::time_point now) {
    while (!m_restarts.empty() && now - m_restarts.front() >= m_intensity.period) {
        m_restarts.pop_front();
    }
    m_restarts.push_back(now);
    return m_restarts.size() <= m_intensity.max_restarts;
}

} // namespace jujubemast::runtime
