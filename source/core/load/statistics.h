#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

#include "load/experiment.h"
#include "load/outcome.h"

namespace jujubemast::load {

/// Exact quantiles of a set of values, with its mean and maximum.
struct quantiles {
    std::size_t count = 0;
    double mean = 0.0;
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    double max = 0.0;
};

/// Returns the quantiles of the values, computed by the tail quantile of Boost.Accumulators over
/// all of them. All members are zero if there are no values.
quantiles quantiles_of(const std::vector<float>& values);

/// Statistics of a stage over many requests. Times are in milliseconds.
struct stage_statistics {
    std::uint64_t completed = 0;
    std::uint64_t attempts = 0;
    /// Service time spent on requests that completed within their deadline.
    double useful_ms = 0.0;
    std::vector<float> queue_ms;
    std::vector<float> service_ms;
};

/// Statistics of a group of requests. Times are in milliseconds.
struct group_statistics {
    std::uint64_t sent = 0;
    std::uint64_t within_deadline = 0;
    std::array<std::uint64_t, common::enumerator_count<request_result>()> results{};
    std::map<std::string, std::uint64_t> reasons;
    std::vector<float> latency_ms;
    std::vector<float> first_token_ms;
    std::vector<float> token_gap_ms;

    void add(const request_outcome& outcome);
};

/// Collects the outcomes of a run by phase, and within a phase by priority, workspace, traffic
/// class and stage.
class run_statistics {
public:
    /// The experiment must outlive the statistics.
    explicit run_statistics(const experiment& source);

    void add(const request_outcome& outcome);

    /// Counts a response with wrong content. The first few messages are kept for the report.
    void add_verification_error(const std::string& error);

    [[nodiscard]] boost::json::object to_json() const;

    /// Returns the report as a text table.
    [[nodiscard]] std::string to_table() const;

private:
    struct phase_statistics {
        group_statistics all;
        std::vector<float> send_lag_ms;
        std::map<std::string, group_statistics> priorities;
        std::map<std::string, group_statistics> workspaces;
        std::map<std::string, group_statistics> traffic;
        std::map<std::string, stage_statistics> stages;
    };

    [[nodiscard]] boost::json::object phase_to_json(std::size_t phase) const;
    [[nodiscard]] std::string phase_to_table(std::size_t phase) const;

    const experiment& m_experiment;
    std::vector<phase_statistics> m_phases;
    std::uint64_t m_wrong_responses = 0;
    std::vector<std::string> m_verification_errors;
};

} // namespace jujubemast::load
