#include "gateway/instances/send_window.h"

#include <algorithm>

namespace jujubemast::gateway::instances {

void send_window::record(common::time_point now) {
    const auto first =
        std::find_if(m_sends.begin(), m_sends.end(), [&](auto it) { return it + length > now; });
    m_sends.erase(m_sends.begin(), first);
    m_sends.push_back(now);
}

std::optional<common::time_point> send_window::next_send(std::size_t permits,
                                                         common::time_point now) const {
    if (permits == 0) {
        return std::nullopt;
    }
    if (m_sends.size() < permits) {
        return now;
    }
    return std::max(now, m_sends[m_sends.size() - permits] + length);
}

std::size_t send_window::count(common::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_sends.begin(), m_sends.end(), [&](auto it) { return it + length > now; }));
}

} // namespace jujubemast::gateway::instances
