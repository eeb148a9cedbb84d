#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "common/time.h"

namespace jujubemast::gateway::instances {

/// The requests that this gateway has sent to one instance lately, for the limit of cold instances.
/// Reads no clock.
class send_window {
public:
    /// The limit holds for any second at the instance. The rest covers requests that take
    /// differently long to arrive, because some need a new connection.
    static constexpr common::duration length = std::chrono::milliseconds{1200};

    void record(common::time_point now);

    /// Returns when a further request may be sent if this many are permitted in one window; nothing
    /// if none is.
    [[nodiscard]] std::optional<common::time_point> next_send(std::size_t permits,
                                                              common::time_point now) const;

    /// Number of requests in the window that ends at this time.
    [[nodiscard]] std::size_t count(common::time_point now) const;

private:
    /// Oldest first. Times before the window of the last send are removed.
    std::vector<common::time_point> m_sends;
};

} // namespace jujubemast::gateway::instances
