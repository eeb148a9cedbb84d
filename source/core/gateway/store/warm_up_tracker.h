#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "gateway/store_position.h"
#include "gateway/upstream_list.h"

namespace jujubemast::gateway::store {

/// Decides from the rows of the upstreams when their instances began to warm up. Reads no clock.
class warm_up_tracker {
public:
    /// Instances that appear within this time after the first read start together with this
    /// gateway, and not during traffic.
    static constexpr common::duration start_time = std::chrono::seconds{10};
    /// A cold instance rewrites its row with less time left. Differences up to this come from the
    /// time that rows take.
    static constexpr common::duration row_delay = std::chrono::milliseconds{500};

    /// Completes an entry that was decoded from the row at this position. Returns whether the
    /// instance stays cold for longer than its former row said, which the digest of the row does
    /// not show.
    bool complete(upstream_instance& entry, const store_position& position, common::time_point now);

    /// The whole table has been read.
    void table_read(common::time_point now);

    /// The row of an instance was deleted. If it comes back for the same incarnation, for example
    /// because it had expired, the instance has not started again.
    void removed(const std::string& id, common::time_point now);

private:
    /// How long an instance is remembered after its row was deleted.
    static constexpr common::duration retention = std::chrono::minutes{10};

    struct known_instance {
        upstream_instance entry;
        store_position position;
        std::optional<common::time_point> started;
        std::optional<common::time_point> removed;
    };

    std::map<std::string, known_instance> m_known;
    std::optional<common::time_point> m_first_read;
};

} // namespace jujubemast::gateway::store
