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

/// Work that asks for admission.
struct admission_request {
    std::uint64_t id = 0;
    std::string workspace;
    common::priority priority = common::priority::standard;
    common::time_point deadline;
    /// Time that later stages need before the deadline.
    common::duration reserve = common::duration::zero();
    std::string operation;
    work_size size;
    /// The sender's estimate of the service time, used while nothing has been learned; zero when
    /// there is none.
    common::duration service_time_hint = common::duration::zero();
};

struct admission_decision {
    /// The new work cannot make its deadline and is not queued.
    bool deadline_unreachable = false;
    /// Queued work, which may be the new one, refused for lack of room.
    std::vector<std::uint64_t> refused;
    /// Expected wait of the new work, and so the time after which a repeat makes sense.
    common::duration wait = common::duration::zero();
};

struct start_decision {
    /// Queued work dropped because it can no longer make its deadline.
    std::vector<std::uint64_t> infeasible;
    std::optional<std::uint64_t> started;
};

/// Decides what an upstream runs and when, by the order of the queue, the expected service times,
/// the deadlines and the limit of calls in progress.
class admission_control {
public:
    admission_control(queue_hooks queue, limit_hooks limit, deadline_check check,
                      const shares& initial);

    admission_decision admit(const admission_request& work, common::time_point now);

    /// Takes the next work to run, while fewer calls than the limit are in progress.
    start_decision start_next(std::uint32_t in_progress, common::time_point now);

    /// Drops queued work that can no longer make its deadline.
    std::vector<std::uint64_t> drop_infeasible(common::time_point now);

    /// Learns from work that ran to its end.
    void completed(std::uint64_t id, std::uint32_t in_progress, common::time_point now);

    /// Forgets work in whatever state; safe to call for unknown work.
    void forget(std::uint64_t id);

    void set_shares(const shares& current);

    [[nodiscard]] std::uint32_t limit() const { return m_limit.current(); }

    /// Expected wait of new work of the priority.
    [[nodiscard]] common::duration expected_wait(common::priority priority,
                                                 common::time_point now) const;

    /// Number of pieces of work that are queued or in progress.
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
    bool take_probe(const std::string& operation, common::time_point now);
    void learn(const tracked_work& work, std::uint32_t in_progress, common::time_point now);
    void erase_latest_start(const tracked_work& work);

    queue_hooks m_queue;
    limit_hooks m_limit;
    deadline_check m_check;
    wait_estimator m_wait_estimator;
    cost_model m_service_model;
    cost_model m_unloaded_model;
    std::unordered_map<std::uint64_t, tracked_work> m_work;
    /// When work of an operation last completed or was let through as a probe.
    std::unordered_map<std::string, common::time_point> m_last_run;
    std::set<std::pair<common::time_point, std::uint64_t>> m_latest_starts;
};

} // namespace jujubemast::policy
