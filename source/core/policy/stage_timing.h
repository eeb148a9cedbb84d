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
    /// Hedges are sent after this multiple of the 95th percentile of the stage's response time.
    /// With 1.5 the waits in queues at 70% load already caused hedges of 4% of the generations.
    double hedge_factor = 2.0;
    common::duration min_hedge_delay = std::chrono::milliseconds{30};
    /// Hedges are sent only once the stage has responded this often.
    std::uint64_t min_hedge_samples = 20;
};

/// What an entry has learned of the time that each stage of each pipeline takes. Pipelines are kept
/// apart, because those of a low priority wait in queues for longer and need no hedge for that.
class stage_timing {
public:
    explicit stage_timing(const stage_timing_options& options = {}) : m_options{options} {}

    /// Records the time from a dispatch to the first part of its result. An attempt that another
    /// one has overtaken is recorded with the time it has taken so far; without these samples the
    /// estimate would fall with every hedge and cause more of them.
    void record_response(const std::string& pipeline, std::size_t stage, common::duration time);

    /// Records the upstream's own time for a complete result, without the wait in its queue.
    void record_service(const std::string& pipeline, std::size_t stage, common::duration time);

    /// Returns how long to wait for a first response before a hedge, or nothing when too little is
    /// known.
    [[nodiscard]] std::optional<common::duration> hedge_delay(const std::string& pipeline,
                                                              std::size_t stage) const;

    /// Returns the median service time of the stage; zero when nothing is known. The median is not
    /// moved by a few slow upstreams.
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
