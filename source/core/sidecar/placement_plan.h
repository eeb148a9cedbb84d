#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"

namespace jujubemast::sidecar {

/// What an engine reports of itself.
struct engine_state {
    std::set<std::string> models;
    std::string role;
    /// Number of the last order that the engine has taken.
    std::uint64_t fencing = 0;
};

/// What the engine is to hold; the revision is the fencing number of the orders.
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

/// Returns the next order towards the target, or nothing when there is none to give. Models are
/// loaded one at a time, and none is dropped before all are loaded and the role is right. An engine
/// that has taken an order of a higher revision gets none.
std::optional<engine_order> next_order(const engine_state& state, const placement_target& target);

/// Notices a pause of the process by a gap of the monotonic clock between two beats.
class pause_detector {
public:
    explicit pause_detector(common::duration limit) : m_limit{limit} {}

    /// Returns whether more than the limit has passed since the last beat.
    bool observe(common::time_point now);

private:
    common::duration m_limit;
    std::optional<common::time_point> m_last;
};

} // namespace jujubemast::sidecar
