#include "entry/entry_metrics.h"

namespace jujubemast::entry {

namespace {

constexpr const char* requests_name = "jujubemast_requests_total";
constexpr const char* requests_help = "Requests by priority, outcome and execution.";

double seconds(std::int64_t microseconds) {
    return static_cast<double>(microseconds) / 1e6;
}

} // namespace

entry_metrics::entry_metrics()
    : m_in_progress{&m_registry.add_gauge("jujubemast_requests_in_progress",
                                          "Requests without an answer yet.")} {
    for (std::size_t n = 0; n < m_answered.size(); ++n) {
        const std::string name{common::to_name(static_cast<common::priority>(n))};
        m_answered.at(n) = &m_registry.add_counter(
            requests_name, requests_help,
            {{"priority", name}, {"outcome", "answered"}, {"execution", "ran"}});
    }
}

void entry_metrics::answered(common::priority priority, const std::vector<stage_report>& stages) {
    m_answered.at(static_cast<std::size_t>(priority))->add();
    for (const auto& it : stages) {
        const metrics::labels stage{{"stage", it.name}};
        m_registry
            .add_summary("jujubemast_stage_service_seconds", "Time of a stage at its upstream.",
                         stage)
            .observe(seconds(it.service_us));
        m_registry
            .add_summary("jujubemast_stage_queue_seconds", "Time of a stage in a sidecar's queue.",
                         stage)
            .observe(seconds(it.queue_us));
        m_registry
            .add_counter("jujubemast_stage_retries_total",
                         "Attempts beyond the first at stages that were completed.", stage)
            .add(it.attempts > 0 ? it.attempts - 1 : 0);
    }
}

void entry_metrics::failed(common::priority priority, const problem& reason) {
    count_problem(std::string{common::to_name(priority)}, reason);
}

void entry_metrics::refused(const problem& reason) {
    count_problem("unknown", reason);
}

void entry_metrics::count_problem(const std::string& priority, const problem& reason) {
    m_registry
        .add_counter(requests_name, requests_help,
                     {{"priority", priority},
                      {"outcome", std::string{common::to_name(reason.kind)}},
                      {"execution", std::string{common::to_name(reason.execution)}}})
        .add();
}

std::string entry_metrics::text(std::size_t in_progress) {
    m_in_progress->set(static_cast<double>(in_progress));
    return m_registry.text();
}

} // namespace jujubemast::entry
