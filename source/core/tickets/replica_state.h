#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.h"
#include "tickets/snapshot.h"

namespace jujubemast::tickets {

struct replica_state_limits {
    /// A fetch without an answer for this time is made again, from whichever peer tells next.
    common::duration fetch_timeout = std::chrono::milliseconds{500};
    /// How long a process that has not served yet listens to its peers before it takes the highest
    /// revision among them, while the store does not answer.
    common::duration startup_wait = std::chrono::milliseconds{1000};
    /// A serving process that has been behind a known revision for this time is not ready. A fetch
    /// normally takes one round trip, so shorter lags do not show in health checks.
    common::duration lag_limit = std::chrono::milliseconds{1000};
};

/// Decides how one process learns of configurations: what to fetch, what to apply and when to
/// serve. It never goes back to a lower revision and never begins to serve from a lower revision
/// than it has been told of.
class replica_state {
public:
    explicit replica_state(const replica_state_limits& limits) : m_limits{limits} {}

    /// Notes the revision of a peer. Returns true when it is to be fetched from this peer now.
    bool on_peer_revision(std::uint64_t revision, common::time_point now);

    /// Notes the revision of the head row, zero when there is none. Returns true when the objects
    /// are to be read.
    bool on_store_revision(std::uint64_t revision, common::time_point now);

    /// Takes the snapshot when its revision is higher than the one held. Returns whether it was.
    bool install_if_newer(snapshot_pointer candidate, common::time_point now);

    /// Returns the snapshot to serve from, once for each change; null when there is no new one.
    snapshot_pointer take_snapshot_to_publish(common::time_point now);

    /// Why the process is not ready; empty when it is.
    [[nodiscard]] std::string not_ready_reason(common::time_point now) const;

    /// Makes `take_snapshot_to_publish` return the snapshot in service once more, for tasks that
    /// have been restarted.
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
    /// Highest revision that the store or a peer has named.
    std::uint64_t m_known_revision = 0;
    std::uint64_t m_served_revision = 0;
    bool m_republish = false;
    bool m_store_answered = false;
    std::optional<common::time_point> m_first_peer_revision_at;
    std::optional<common::time_point> m_fetch_sent_at;
    std::optional<common::time_point> m_lagging_since;
};

} // namespace jujubemast::tickets
