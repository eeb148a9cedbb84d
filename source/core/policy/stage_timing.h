#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "common/time.h"
#include "policy/quantile_estimate.h"

namespace jujubemast::policy {

struct stage_timing_options {
    /// A hedge is sent after the 95th percentile of the stage's response time multiplied by this.
    /// With a factor of 1.5, queueing delays at 70% load caused hedges for 4% of the generations.
    double hedge_factor = 2.0;
    common::duration min_hedge_delay = std::chrono::milliseconds{30};
    /// Number of recorded responses of the stage before hedges are sent.
    std::uint64_t min_hedge_samples = 20;
};

/// Learns the response and service times of each stage of each pipeline. Pipelines are kept
/// separate because those of a low priority wait longer in queues, which is no reason for a hedge.
class stage_timing {
public:
    explicit stage_timing(const stage_timing_options& options = {}) : m_options{options} {}

    /// Records the time from a dispatch to the first chunk of its result. An attempt that was
    /// overtaken by a hedge is recorded with its elapsed time; without these samples every hedge
    /// would lower the estimate and thereby cause more hedges.
    void record_response(const std::string& pipeline, std::size_t stage, common::duration time);

    /// Records the service time of a complete result, without the time in the queue.
    void record_service(const std::string& pipeline, std::size_t stage, common::duration time);

    /// Returns how long to wait for a first response before a hedge, or nothing while there are too
    /// few samples.
    [[nodiscard]] std::optional<common::duration> hedge_delay(const std::string& pipeline,
                                                              std::size_t stage) const;

    /// Returns the median service time of the stage; zero without samples. The median is used
    /// because a few slow upstreams hardly change it.
    [[nodiscard]] common::duration expected_service(const std::string& pipeline,
                                                    std::size_t stage) const;

private:
    struct stage_record {
        quantile_estimate response_s{0.95};
        quantile_estimate service_s{0.5};
    };

    [[nodiscard]] const stage_record* find(const std::string& pipeline, std::size_t stage) const;

    stage_timing_options m_options;
    std::map<std::pair<std::string, std::size_t>, stage_record> m_stages;
};

} // namespace jujubemast::policy
