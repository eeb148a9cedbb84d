#pragma once

#include <array>
#include <string>

#include "common/types.h"
#include "metrics/registry.h"
#include "protocol/messages.h"

namespace jujubemast::sidecar {

/// Current values of the admission task's gauges.
struct admission_gauges {
    std::array<std::size_t, common::enumerator_count<common::priority>()> queued{};
    std::size_t running = 0;
};

/// The metrics of a sidecar, owned by its admission task.
class sidecar_metrics {
public:
    sidecar_metrics();

    /// Work was accepted into the queue; attempts count from 0.
    void accepted(common::priority priority, std::uint32_t attempt);
    /// Work has completed at the upstream.
    void completed(common::priority priority, const protocol::result_end& end);
    /// Work was refused or has failed.
    void refused(protocol::refusal_reason reason, common::execution execution);

    [[nodiscard]] std::string text(const admission_gauges& current);

private:
    template <typename Metric>
    using by_priority = std::array<Metric*, common::enumerator_count<common::priority>()>;

    metrics::registry m_registry;
    by_priority<metrics::counter> m_accepted{};
    by_priority<metrics::counter> m_completed{};
    by_priority<metrics::gauge> m_queued{};
    by_priority<metrics::quantile_summary> m_queue_time{};
    by_priority<metrics::quantile_summary> m_service_time{};
    metrics::counter* m_retries;
    metrics::gauge* m_running;
};

} // namespace jujubemast::sidecar
