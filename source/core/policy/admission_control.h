#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/concurrency_limit.h"
#include "policy/cost_model.h"
#include "policy/deadline_check.h"
#include "policy/work_queue.h"

namespace jujubemast::policy {

/// Work offered to `admission_control::admit`.
struct admission_request {
    std::uint64_t id = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::time_point deadline;
    /// Time before the deadline that is reserved for later stages.
    common::duration reserve = common::duration::zero();
    std::string operation;
    work_size size;
    /// The sender's estimate of the service time, used until the cost model has one; zero if the
    /// sender gave none.
    common::duration service_time_hint = common::duration::zero();
};

struct admission_decision {
    /// The new work is not expected to meet its deadline and was not queued.
    bool deadline_unreachable = false;
    /// Work removed from the queue because it is full; may include the new work.
    std::vector<std::uint64_t> refused;
    /// Expected wait of the new work; also the delay to suggest before a retry.
    common::duration wait = common::duration::zero();
};

struct start_decision {
    /// Queued work that was dropped because it can no longer meet its deadline.
    std::vector<std::uint64_t> infeasible;
    std::optional<std::uint64_t> started;
};

/// Decides which work an upstream runs and when, based on the queue order, the expected service
/// times, the deadlines and the concurrency limit.
class admission_control {
public:
    admission_control(queue_hooks queue, limit_hooks limit, deadline_check check,
                      const capacity_shares& initial);

    admission_decision admit(const admission_request& work, common::time_point now);

    /// Takes the next work to run if fewer calls than the concurrency limit are in progress.
    start_decision start_next(std::uint32_t in_progress, common::time_point now);

    /// Removes queued work that can no longer meet its deadline and returns its ids.
    std::vector<std::uint64_t> drop_infeasible(common::time_point now);

    /// Updates the cost models and the concurrency limit from work that ran to completion.
    void completed(std::uint64_t id, std::uint32_t in_progress, common::time_point now);

    /// Stops tracking the work in any state; does nothing for an unknown id.
    void forget(std::uint64_t id);

    void set_shares(const capacity_shares& current);

    [[nodiscard]] std::uint32_t limit() const { return m_limit.current(); }

    /// Returns the expected wait of new work of the priority.
    [[nodiscard]] common::duration expected_wait(common::priority priority,
                                                 common::time_point now) const;

    /// Returns the number of requests that are queued or in progress.
    [[nodiscard]] std::size_t size() const { return m_work.size(); }

private:
    struct tracked_work {
        queued_work queued;
        std::string operation;
        work_size size;
        common::time_point latest_start;
        std::optional<common::time_point> started;
        bool low_load = false;
        bool probe = false;
    };

    [[nodiscard]] common::duration wait_of(const queued_work& work, common::time_point now) const;
    bool try_start_probe(const std::string& operation, common::time_point now);
    void update_models(const tracked_work& work, std::uint32_t in_progress, common::time_point now);
    void erase_latest_start(const tracked_work& work);

    queue_hooks m_queue;
    limit_hooks m_limit;
    deadline_check m_check;
    wait_estimator m_wait_estimator;
    cost_model m_service_model;
    cost_model m_unloaded_model;
    std::unordered_map<std::uint64_t, tracked_work> m_work;
    /// When work of each operation last completed or was admitted as a probe.
    std::unordered_map<std::string, common::time_point> m_last_run;
    std::set<std::pair<common::time_point, std::uint64_t>> m_latest_starts;
};

} // namespace jujubemast::policy
