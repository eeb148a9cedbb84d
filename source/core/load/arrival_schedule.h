#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "load/experiment.h"

namespace jujubemast::load {

/// A request to be sent at a given time, whether or not the earlier ones have completed.
struct planned_request {
    /// Sequence number within the run, from 0.
    std::uint64_t number = 0;
    std::size_t phase = 0;
    /// Scheduled send time, counted from the start of the run.
    common::duration send_time = common::duration::zero();
    const traffic_class* traffic = nullptr;
    const pipeline_target* pipeline = nullptr;
    const workspace_credential* workspace = nullptr;
    common::priority priority = common::priority::standard;
    std::string input;
    std::uint64_t max_tokens = 0;
};

/// Generates the arrivals of an experiment in chronological order. Each traffic class has its own
/// Poisson process of single requests or of whole bursts. Equal seeds give equal schedules. The
/// experiment must outlive the schedule.
class arrival_schedule {
public:
    explicit arrival_schedule(const experiment& source);

    /// Returns the next request, or std::nullopt after the last phase.
    std::optional<planned_request> next();

    /// Returns the total duration of all phases.
    [[nodiscard]] common::duration length() const { return m_length; }

private:
    /// A burst of requests of one traffic class. A single request is a burst of size one.
    struct arrival {
        common::duration time;
        std::size_t traffic;
        std::uint64_t remaining;

        friend bool operator>(const arrival& left, const arrival& right) {
            return left.time != right.time ? left.time > right.time : left.traffic > right.traffic;
        }
    };

    void begin_phase();
    void draw_burst(std::size_t traffic);
    [[nodiscard]] double bursts_per_s(std::size_t traffic) const;
    [[nodiscard]] common::duration exponential(double rate_per_s) const;
    [[nodiscard]] const workspace_credential& draw_workspace(const traffic_class& traffic) const;
    [[nodiscard]] planned_request make_request(const arrival& next);

    const experiment& m_experiment;
    common::random_hook m_random;
    double m_shares = 0.0;
    common::duration m_length = common::duration::zero();
    std::size_t m_phase = 0;
    common::duration m_phase_begin = common::duration::zero();
    common::duration m_phase_end = common::duration::zero();
    /// Time of the latest arrival drawn for each traffic class.
    std::vector<common::duration> m_last_arrivals;
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> m_arrivals;
    std::uint64_t m_next_number = 0;
};

/// Returns the input number `number` of a traffic class, with at least `bytes` bytes.
std::string make_input(const std::string& traffic, std::uint64_t number, std::uint64_t bytes);

} // namespace jujubemast::load
