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

/// A stream of requests with Poisson arrivals that lasts until the end of the run.
struct simulated_demand {
    std::string workspace = "w";
    common::priority priority = common::priority::standard;
    double per_second = 1.0;
    common::duration deadline = std::chrono::seconds{1};
};

/// Results of one workspace in one priority. The counts are of requests that arrived after the
/// warm-up.
struct simulated_outcome {
    std::uint64_t offered = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    /// Service time, in seconds, of the requests completed within their deadline between the end of
    /// the warm-up and the end of the run.
    double useful_cost = 0.0;
};

struct simulation_options {
    std::uint32_t slots = 8;
    /// Service times are distributed uniformly between 0.5 and 1.5 times this value. The input size
    /// predicts them with a relative error of up to `noise`.
    common::duration mean_service = std::chrono::milliseconds{20};
    double noise = 0.1;
    common::duration warm_up = std::chrono::seconds{5};
    common::duration length = std::chrono::seconds{35};
    std::uint64_t seed = 1;
    /// Factor by which the service time of calls started between `slow_begin` and `slow_end` is
    /// multiplied. Both times count from the start of the run.
    double slow_factor = 1.0;
    common::duration slow_begin = common::duration::zero();
    common::duration slow_end = common::duration::zero();
};

/// Simulates an upstream with a number of slots behind admission control, in virtual time. Calls
/// that find no free slot wait inside the upstream. Each demand has its own random numbers, so that
/// demands appended to the list do not change the earlier ones.
class upstream_simulation {
public:
    upstream_simulation(policy::admission_control& control, simulation_options options);

    void run(const std::vector<simulated_demand>& demands);

    /// Outcome of a priority, summed over all workspaces or of one workspace.
    [[nodiscard]] simulated_outcome outcome(common::priority priority) const;
    [[nodiscard]] simulated_outcome outcome(common::priority priority,
                                            const std::string& workspace) const;

    /// Useful service time as a fraction of the capacity of all slots after the warm-up.
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
