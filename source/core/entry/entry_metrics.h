#pragma once

#include <array>
#include <string>
#include <vector>

#include "entry/problem.h"
#include "entry/request_flow.h"
#include "metrics/registry.h"

namespace jujubemast::entry {

/// The metrics of an entry, owned by its coordinator.
class entry_metrics {
public:
    entry_metrics();

    /// A request was answered.
    void answered(common::priority priority, const std::vector<stage_report>& stages);
    /// A request of this priority has failed or was refused after authentication.
    void failed(common::priority priority, const problem& reason);
    /// A request was refused before its priority was known.
    void refused(const problem& reason);

    /// Returns all metrics as text, with the number of requests in progress.
    [[nodiscard]] std::string text(std::size_t in_progress);

private:
    void count_problem(const std::string& priority, const problem& reason);

    metrics::registry m_registry;
    std::array<metrics::counter*, common::enumerator_count<common::priority>()> m_answered{};
    metrics::gauge* m_in_progress;
};

} // namespace jujubemast::entry
