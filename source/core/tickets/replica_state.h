#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "tickets/snapshot.h"

namespace jujubemast::tickets {

struct replica_state_limits {
    /// A fetch without a response for this time is repeated, from the next peer that sends a higher
    /// revision.
    common::duration fetch_timeout = std::chrono::milliseconds{500};
    /// How long a starting process listens to its peers before it serves the highest revision among
    /// them, if the store does not respond.
    common::duration startup_wait = std::chrono::milliseconds{1000};
    /// A serving process that has lagged behind a known revision for this time is not ready. A
    /// fetch normally takes one round trip, so health checks ignore shorter lags.
    common::duration lag_limit = std::chrono::milliseconds{1000};
};

/// Decides which configurations one process fetches, which ones it installs and when it serves
/// them. It never returns to a lower revision, and does not start to serve a revision while it
/// knows of a higher one.
class replica_state {
public:
    explicit replica_state(const replica_state_limits& limits) : m_limits{limits} {}

    /// Records the revision of a peer. Returns true if it must be fetched from this peer now.
    bool on_peer_revision(std::uint64_t revision, common::time_point now);

    /// Records the revision of the head row, zero if there is no such row. Returns true if the
    /// objects must be read.
    bool on_store_revision(std::uint64_t revision, common::time_point now);

    /// Installs the snapshot if its revision is higher than the local one. Returns whether it was
    /// installed.
    bool install_if_newer(snapshot_pointer candidate, common::time_point now);

    /// Returns the snapshot to publish and marks it as served. Returns null if there is no new one
    /// or it may not be served yet.
    snapshot_pointer take_snapshot_to_publish(common::time_point now);

    /// Returns why the process is not ready, or an empty text if it is ready.
    [[nodiscard]] std::string not_ready_reason(common::time_point now) const;

    /// Makes `take_snapshot_to_publish` return the served snapshot once more, for tasks that have
    /// been restarted.
    void request_republish() { m_republish = true; }

    [[nodiscard]] const snapshot_pointer& local_snapshot() const { return m_local_snapshot; }
    [[nodiscard]] std::uint64_t local_revision() const {
        return m_local_snapshot ? m_local_snapshot->revision() : 0;
    }
    [[nodiscard]] std::uint64_t known_revision() const { return m_known_revision; }
    [[nodiscard]] std::uint64_t served_revision() const { return m_served_revision; }

private:
    void record_revision(std::uint64_t revision, common::time_point now);
    [[nodiscard]] bool can_serve(common::time_point now) const;

    replica_state_limits m_limits;
    snapshot_pointer m_local_snapshot;
    /// Highest revision received from the store or a peer.
    std::uint64_t m_known_revision = 0;
    std::uint64_t m_served_revision = 0;
    bool m_republish = false;
    bool m_store_responded = false;
    std::optional<common::time_point> m_first_peer_revision_at;
    std::optional<common::time_point> m_fetch_sent_at;
    std::optional<common::time_point> m_lagging_since;
};

} // namespace jujubemast::tickets
