#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/random.h"
#include "policy/admission_control.h"

namespace jujubemast::tests {

/// Requests that arrive at random (Poisson) until the end of a run.
struct simulated_demand {
    std::string workspace = "w";
    common::priority priority = common::priority::standard;
    double per_second = 1.0;
    common::duration deadline = std::chrono::seconds{1};
};

/// What one workspace got in one priority: counts of the requests that arrived after the warm-up.
struct simulated_outcome {
    std::uint64_t offered = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    /// Service time of the work that finished in time between warm-up and end, in seconds.
    double useful_cost = 0.0;
};

struct simulation_options {
    std::uint32_t slots = 8;
    /// Service time is uniform between half and one and a half of this, and known up to
    /// `noise` from the size of the input.
    common::duration mean_service = std::chrono::milliseconds{20};
    double noise = 0.1;
    common::duration warm_up = std::chrono::seconds{5};
    common::duration length = std::chrono::seconds{35};
    std::uint64_t seed = 1;
    /// From `slow_begin` to `slow_end` after the start, calls begin with this many times their
    /// service time.
    double slow_factor = 1.0;
    common::duration slow_begin = common::duration::zero();
    common::duration slow_end = common::duration::zero();
};

/// An upstream with a number of slots behind an admission control, in virtual time. Calls beyond
/// the slots wait inside the upstream. Each demand has its own random numbers, so that it is the
/// same in runs with and without further demands behind it.
class upstream_simulation {
public:
    upstream_simulation(policy::admission_control& control, simulation_options options);

    void run(const std::vector<simulated_demand>& demands);

    /// Outcome of a priority, over all workspaces or of one.
    [[nodiscard]] simulated_outcome outcome(common::priority priority) const;
    [[nodiscard]] simulated_outcome outcome(common::priority priority,
                                            const std::string& workspace) const;

    /// Useful service time as a part of all slots' time after the warm-up.
    [[nodiscard]] double useful_share(common::priority priority) const;
    [[nodiscard]] double useful_share() const;

private:
    struct event {
        common::time_point time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    struct request {
        const simulated_demand* demand = nullptr;
        common::time_point deadline;
        common::duration service = common::duration::zero();
        bool counted = false;
    };

    void schedule(common::time_point time, std::function<void()> action);
    void schedule_arrival(const simulated_demand& demand, const common::random_hook& random);
    void arrive(const simulated_demand& demand, const common::random_hook& random);
    void start_work();
    void serve_waiting();
    void complete(std::uint64_t id);
    void refuse(std::uint64_t id);
    simulated_outcome* outcome_counter(const request& of);
    [[nodiscard]] common::duration service_time_of(const request& served) const;

    policy::admission_control& m_control;
    simulation_options m_options;
    common::time_point m_now;
    common::time_point m_end;
    std::priority_queue<event> m_events;
    std::uint64_t m_next_id = 1;
    std::unordered_map<std::uint64_t, request> m_requests;
    std::queue<std::uint64_t> m_waiting;
    std::uint32_t m_busy = 0;
    std::uint32_t m_in_progress = 0;
    std::array<std::map<std::string, simulated_outcome>, 3> m_outcomes;
};

} // namespace jujubemast::tests
