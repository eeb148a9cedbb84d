#pragma once

#include <array>
#include <functional>

#include "common/enum_names.h"
#include "common/time.h"
#include "common/types.h"
#include "policy/work_queue.h"

namespace jujubemast::policy {

struct deadline_check_options {
    /// The expected wait counts this many times on arrival. docs/measurements-admission.md has the
    /// runs that led to the three values.
    double wait_factor = 1.2;
    /// The expected service time counts this many times on arrival. More than the drop factor needs
    /// would refuse long work with a tight deadline even while the upstream is idle.
    double service_factor = 1.15;
    /// Accepted work is dropped when this many times its expected service time no longer fit. Below
    /// one, an overloaded queue serves mostly work that finishes just too late. The factor on
    /// arrival is larger, so that small errors of the estimate do not drop work that has just been
    /// accepted.
    double drop_factor = 1.1;
};

/// Decides whether work can still make its deadline.
class deadline_check {
public:
    explicit deadline_check(deadline_check_options options = {}) : m_options{options} {}

    /// Whether new work, with this wait ahead of it, makes its deadline.
    [[nodiscard]] bool reachable(common::time_point now, common::time_point deadline,
                                 common::duration wait, common::duration service) const;

    /// The time from which accepted work that has not begun is hopeless.
    [[nodiscard]] common::time_point latest_start(common::time_point deadline,
                                                  common::duration service) const;

private:
    deadline_check_options m_options;
};

/// Expects how long new work waits, from the work ahead of it and the share of the capacity that is
/// open to its priority. That share is what more urgent priorities leave, as measured over the last
/// seconds, but at least the floor.
class wait_estimator {
public:
    void set_floors(const std::array<double, 3>& floors) { m_floors = floors; }

    /// Notes that work of this cost has begun.
    void record_start(common::priority priority, common::duration cost, common::time_point now);

    /// Returns the expected wait behind `cost_ahead` of the same priority, with `limit` calls in
    /// progress at the same time.
    [[nodiscard]] common::duration wait(const queue_hooks& queue, common::priority priority,
                                        common::duration cost_ahead, double limit,
                                        common::time_point now) const;

private:
    struct service_rate {
        /// Cost begun per second, exponentially weighted.
        double rate = 0.0;
        common::time_point updated_at;
    };

    [[nodiscard]] double current_rate(std::size_t priority, common::time_point now) const;

    std::array<double, 3> m_floors{};
    std::array<service_rate, 3> m_service_rates;
};

} // namespace jujubemast::policy
