#pragma once

#include <array>
#include <functional>

#include "common/enum_names.h"
#include "common/time.h"
#include "common/types.h"
#include "policy/work_queue.h"

namespace jujubemast::policy {

struct deadline_check_options {
    /// Factor on the expected wait in the check on arrival. docs/measurements-admission.md has the
    /// measurements behind the three values.
    double wait_factor = 1.2;
    /// Factor on the expected service time in the check on arrival. It must be above the drop
    /// factor; a much larger value would refuse long work with a tight deadline even while the
    /// upstream is idle.
    double service_factor = 1.15;
    /// Accepted work is dropped when less than its expected service time multiplied by this factor
    /// remains until the deadline. With a factor below one, an overloaded queue serves mostly work
    /// that finishes just too late. The factor on arrival is larger, so that small estimation
    /// errors do not cause just-accepted work to be dropped.
    double drop_factor = 1.1;
};

/// Decides whether work can still meet its deadline.
class deadline_check {
public:
    explicit deadline_check(deadline_check_options options = {}) : m_options{options} {}

    /// Returns whether new work with this expected wait and service time meets its deadline.
    [[nodiscard]] bool reachable(common::time_point now, common::time_point deadline,
                                 common::duration wait, common::duration service) const;

    /// Returns the latest time at which accepted work can start and still meet its deadline.
    [[nodiscard]] common::time_point latest_start(common::time_point deadline,
                                                  common::duration service) const;

private:
    deadline_check_options m_options;
};

/// Estimates how long new work waits, from the cost of the work ahead of it and the share of the
/// capacity available to its priority. That share is what the other priorities leave, as measured
/// over the last seconds, but at least the floor. Less urgent priorities count only up to their
/// floors.
class wait_estimator {
public:
    void set_floors(const std::array<double, 3>& floors) { m_floors = floors; }

    /// Records that work of this cost has started.
    void record_start(common::priority priority, common::duration cost, common::time_point now);

    /// Returns the expected wait behind `cost_ahead` of the same priority, with `limit` calls in
    /// progress at the same time.
    [[nodiscard]] common::duration wait(const queue_hooks& queue, common::priority priority,
                                        common::duration cost_ahead, double limit,
                                        common::time_point now) const;

private:
    struct service_rate {
        /// Cost of the work started per second, exponentially weighted.
        double rate = 0.0;
        common::time_point updated_at;
    };

    [[nodiscard]] double current_rate(std::size_t priority, common::time_point now) const;

    std::array<double, 3> m_floors{};
    std::array<service_rate, 3> m_service_rates;
};

} // namespace jujubemast::policy
