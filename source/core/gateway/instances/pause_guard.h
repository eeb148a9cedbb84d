#pragma once

#include <optional>

#include "common/time.h"

namespace jujubemast::gateway::instances {

struct pause_guard_limits {
    /// A task that did not run for this long may have missed the drain of a failure domain. Shorter
    /// pauses leave enough of the time within which a drain must be in force everywhere (5 s).
    common::duration min_pause = std::chrono::milliseconds{1700};
    /// Work is held for this long at most, because the store may be unavailable. Other gateways
    /// announce the drains that they know within this time.
    common::duration max_hold = std::chrono::milliseconds{1500};
    /// How much earlier than the detection of a pause a confirmation may be. Another task may have
    /// asked the store first after the pause. Much shorter than `min_pause`, so that the
    /// confirmation is not from before the pause.
    common::duration detection_delay = std::chrono::milliseconds{500};
};

/// Holds new work back after a pause of this process, until the known drains are confirmed. The
/// requests that have arrived during the pause would otherwise be sent before the drains that were
/// set meanwhile are known. Makes no calls and reads no clock.
class pause_guard {
public:
    /// Interval at which a task calls `end_hold_if_due`.
    static constexpr common::duration tick = std::chrono::milliseconds{200};

    explicit pause_guard(const pause_guard_limits& limits = {}) : m_limits{limits} {}

    /// Whether new work may be sent. Notices a pause since the last call of a member function.
    [[nodiscard]] bool allows_work(common::time_point now);

    /// Records that the known drains were the newest at a time. Returns whether this ends a hold.
    bool record_confirmed(common::time_point at);

    /// Returns whether a hold has ended because it has lasted too long.
    bool end_hold_if_due(common::time_point now);

private:
    pause_guard_limits m_limits;
    std::optional<common::time_point> m_last_running;
    std::optional<common::time_point> m_held_since;
};

} // namespace jujubemast::gateway::instances
