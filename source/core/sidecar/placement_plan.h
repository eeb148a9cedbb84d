#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"

namespace jujubemast::sidecar {

/// The state that an engine reports.
struct engine_state {
    std::set<std::string> models;
    std::string role;
    /// Fencing number of the last order that the engine has accepted.
    std::uint64_t fencing = 0;
};

/// The desired state of an engine. The revision is the fencing number of the orders.
struct placement_target {
    std::set<std::string> models;
    std::string role;
    std::uint64_t revision = 0;
};

struct engine_order {
    std::set<std::string> models;
    std::string role;
    std::uint64_t fencing = 0;
};

/// Returns the next order towards the target, or nullopt if there is none to send. Models are
/// loaded one at a time, and none is unloaded before all are loaded and the role is right. No order
/// is sent to an engine that has accepted an order of a higher revision.
std::optional<engine_order> next_order(const engine_state& state, const placement_target& target);

/// Detects pauses of the process by the monotonic time between two calls of `observe`.
class pause_detector {
public:
    explicit pause_detector(common::duration limit) : m_limit{limit} {}

    /// Returns whether more than the limit has passed since the previous call.
    bool observe(common::time_point now);

private:
    common::duration m_limit;
    std::optional<common::time_point> m_last;
};

} // namespace jujubemast::sidecar
