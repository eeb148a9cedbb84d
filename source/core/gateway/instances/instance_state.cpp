#include "gateway/instances/instance_state.h"

#include <algorithm>

namespace jujubemast::gateway::instances {

void instance_state::set_registered(bool registered, common::time_point now) {
    if (!registered) {
        apply(instance_event::deregistered);
        return;
    }
    if (m_phase == instance_phase::gone) {
        m_registered_at = now;
        apply(instance_event::registered);
    }
    if (m_drain_announced) {
        apply(instance_event::drain_announced);
    }
}

void instance_state::announce_drain() {
    m_drain_announced = true;
    apply(instance_event::drain_announced);
}

void instance_state::request_pause(common::time_point until) {
    m_paused_until = std::max(m_paused_until, until);
    apply(instance_event::pause_requested);
}

void instance_state::update(common::time_point now, bool ejected) {
    apply(now < m_paused_until ? instance_event::pause_requested : instance_event::pause_ended);
    apply(ejected ? instance_event::ejected : instance_event::reinstated);
    if (now - m_registered_at >= instance_warm_up) {
        apply(instance_event::warmed_up);
    }
}

void instance_state::apply(instance_event event) {
    const auto it =
        std::find_if(m_transitions.begin(), m_transitions.end(), [&](const auto& known) {
            return known.from == m_phase && known.event == event;
        });
    if (it != m_transitions.end()) {
        m_phase = it->to;
    }
}

} // namespace jujubemast::gateway::instances
