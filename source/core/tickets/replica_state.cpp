#include "tickets/replica_state.h"

#include <algorithm>
#include <utility>

namespace jujubemast::tickets {

void replica_state::note(std::uint64_t revision, common::time_point now) {
    m_known = std::max(m_known, revision);
    if (m_known > held_revision() && !m_behind_since) {
        m_behind_since = now;
    }
}

bool replica_state::told_by_peer(std::uint64_t revision, common::time_point now) {
    if (revision == 0) {
        return false;
    }
    if (!m_first_told) {
        m_first_told = now;
    }
    note(revision, now);
    const bool waiting = m_fetch_sent && now - *m_fetch_sent < m_limits.fetch_timeout;
    if (revision <= held_revision() || waiting) {
        return false;
    }
    m_fetch_sent = now;
    return true;
}

bool replica_state::told_by_store(std::uint64_t revision, common::time_point now) {
    m_store_answered = true;
    note(revision, now);
    return revision > held_revision();
}

bool replica_state::offer(snapshot_pointer candidate, common::time_point now) {
    m_fetch_sent.reset();
    if (candidate->revision() <= held_revision()) {
        return false;
    }
    m_held = std::move(candidate);
    m_behind_since.reset();
    note(held_revision(), now);
    return true;
}

bool replica_state::may_serve(common::time_point now) const {
    if (!m_held) {
        return false;
    }
    if (m_served > 0) {
        return true;
    }
    const bool settled = m_first_told && now - *m_first_told >= m_limits.startup_wait;
    return held_revision() >= m_known && (m_store_answered || settled);
}

snapshot_pointer replica_state::take_for_service(common::time_point now) {
    if (!may_serve(now) || (held_revision() == m_served && !m_repeat)) {
        return nullptr;
    }
    m_repeat = false;
    m_served = held_revision();
    return m_held;
}

std::string replica_state::not_ready_reason(common::time_point now) const {
    const auto known = std::to_string(m_known);
    if (m_served == 0) {
        if (m_known == 0) {
            return m_store_answered ? "no ticket has been accepted yet"
                                    : "no configuration is known yet: neither the platform's table "
                                      "service nor a sidecar has given one";
        }
        return "configuration revision " + known + " is known but not confirmed yet";
    }
    if (m_behind_since && now - *m_behind_since >= m_limits.lag_limit) {
        return "configuration revision " + known + " is known, but revision " +
               std::to_string(held_revision()) + " is in force here";
    }
    return {};
}

} // namespace jujubemast::tickets
