#include "sidecar/sidecar_metrics.h"

namespace jujubemast::sidecar {

namespace {

double seconds(std::int64_t microseconds) {
    return static_cast<double>(microseconds) / 1e6;
}

} // namespace

sidecar_metrics::sidecar_metrics()
    : m_retries{&m_registry.add_counter("jujubemast_retries_total",
                                        "Accepted work that is not a first attempt.")},
      m_running{&m_registry.add_gauge("jujubemast_running", "Calls at the upstream.")} {
    for (std::size_t n = 0; n < m_accepted.size(); ++n) {
        const metrics::labels of{
            {"priority", std::string{common::to_name(static_cast<common::priority>(n))}}};
        m_accepted.at(n) =
            &m_registry.add_counter("jujubemast_accepted_total", "Work taken into the queue.", of);
        m_completed.at(n) = &m_registry.add_counter("jujubemast_completed_total",
                                                    "Work completed at the upstream.", of);
        m_queued.at(n) = &m_registry.add_gauge("jujubemast_queued", "Work that waits.", of);
        m_queue_time.at(n) =
            &m_registry.add_summary("jujubemast_queue_seconds", "Time in the queue.", of);
        m_service_time.at(n) =
            &m_registry.add_summary("jujubemast_service_seconds", "Time at the upstream.", of);
    }
}

void sidecar_metrics::accepted(common::priority priority, std::uint32_t attempt) {
    m_accepted.at(static_cast<std::size_t>(priority))->add();
    if (attempt > 0) {
        m_retries->add();
    }
}

void sidecar_metrics::completed(common::priority priority, const protocol::result_end& end) {
    const auto n = static_cast<std::size_t>(priority);
    m_completed.at(n)->add();
    m_queue_time.at(n)->observe(seconds(end.queue_us));
    m_service_time.at(n)->observe(seconds(end.service_us));
}

void sidecar_metrics::refused(protocol::refusal_reason reason, common::execution execution) {
    m_registry
        .add_counter("jujubemast_refused_total", "Work refused or failed, by reason.",
                     {{"reason", std::string{common::to_name(reason)}},
                      {"execution", std::string{common::to_name(execution)}}})
        .add();
}

std::string sidecar_metrics::text(const admission_gauges& current) {
    for (std::size_t n = 0; n < m_queued.size(); ++n) {
        m_queued.at(n)->set(static_cast<double>(current.queued.at(n)));
    }
    m_running->set(static_cast<double>(current.running));
    return m_registry.text();
}

} // namespace jujubemast::sidecar
