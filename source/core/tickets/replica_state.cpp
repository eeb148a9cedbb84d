#include "tickets/replica_state.h"

#include <algorithm>
#include <utility>

namespace jujubemast::tickets {

void replica_state::record_revision(std::uint64_t revision, common::time_point now) {
    m_known_revision = std::max(m_known_revision, revision);
    if (m_known_revision > local_revision() && !m_lagging_since) {
        m_lagging_since = now;
    }
}

bool replica_state::on_peer_revision(std::uint64_t revision, common::time_point now) {
    if (revision == 0) {
        return false;
    }
    if (!m_first_peer_revision_at) {
        m_first_peer_revision_at = now;
    }
    record_revision(revision, now);
    const bool fetch_pending = m_fetch_sent_at && now - *m_fetch_sent_at < m_limits.fetch_timeout;
    if (revision <= local_revision() || fetch_pending) {
        return false;
    }
    m_fetch_sent_at = now;
    return true;
}

bool replica_state::on_store_revision(std::uint64_t revision, common::time_point now) {
    m_store_responded = true;
    record_revision(revision, now);
    return revision > local_revision();
}

bool replica_state::install_if_newer(snapshot_pointer candidate, common::time_point now) {
    m_fetch_sent_at.reset();
    if (candidate->revision() <= local_revision()) {
        return false;
    }
    m_local_snapshot = std::move(candidate);
    m_lagging_since.reset();
    record_revision(local_revision(), now);
    return true;
}

bool replica_state::can_serve(common::time_point now) const {
    if (!m_local_snapshot) {
        return false;
    }
    if (m_served_revision > 0) {
        return true;
    }
    const bool startup_wait_over =
        m_first_peer_revision_at && now - *m_first_peer_revision_at >= m_limits.startup_wait;
    return local_revision() >= m_known_revision && (m_store_responded || startup_wait_over);
}

snapshot_pointer replica_state::take_snapshot_to_publish(common::time_point now) {
    if (!can_serve(now) || (local_revision() == m_served_revision && !m_republish)) {
        return nullptr;
    }
    m_republish = false;
    m_served_revision = local_revision();
    return m_local_snapshot;
}

std::string replica_state::not_ready_reason(common::time_point now) const {
    const auto known = std::to_string(m_known_revision);
    if (m_served_revision == 0) {
        if (m_known_revision == 0) {
            return m_store_responded
                       ? "no ticket has been accepted yet"
                       : "no configuration is known yet: neither the platform's table "
                         "service nor a sidecar has given one";
        }
        return "configuration revision " + known + " is known but not confirmed yet";
    }
    if (m_lagging_since && now - *m_lagging_since >= m_limits.lag_limit) {
        return "configuration revision " + known + " is known, but revision " +
               std::to_string(local_revision()) + " is in force here";
    }
    return {};
}

} // namespace jujubemast::tickets
