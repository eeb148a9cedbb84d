#include "policy/link_monitor.h"

#include <algorithm>

namespace jujubemast::policy {

void link_monitor::opened(common::time_point now) {
    m_last_heard.reset();
    m_last_answer.reset();
    m_last_heartbeat = {};
    // The silence limit also applies to connecting: without a heartbeat answered in time, the
    // connection is replaced.
    m_awaiting_since = now;
}

void link_monitor::heartbeat_sent(common::time_point now) {
    m_last_heartbeat = now;
    if (!m_awaiting_since) {
        m_awaiting_since = now;
    }
}

void link_monitor::heartbeat_answered(common::time_point now) {
    m_last_heard = now;
    m_last_answer = now;
    m_awaiting_since.reset();
}

void link_monitor::message_received(common::time_point now) {
    m_last_heard = now;
}

link_action link_monitor::next_action(common::time_point now, bool active) const {
    if (m_awaiting_since && now - *m_awaiting_since > m_options.silence_limit) {
        return link_action::replace;
    }
    const bool use_active_interval = active || m_awaiting_since.has_value();
    const auto last_contact = std::max(m_last_heard.value_or(m_last_heartbeat), m_last_heartbeat);
    const bool due = now - m_last_heartbeat >= m_options.idle_interval ||
                     (use_active_interval && now - last_contact >= m_options.active_interval);
    return due ? link_action::send_heartbeat : link_action::none;
}

bool link_monitor::heard_recently(common::time_point now) const {
    return m_last_heard && now - *m_last_heard <= m_options.recent_contact_limit;
}

bool link_monitor::answered_recently(common::time_point now) const {
    return m_last_answer && now - *m_last_answer <= m_options.recent_contact_limit;
}

} // namespace jujubemast::policy
