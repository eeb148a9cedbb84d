#include "gateway/stages/stage_progress.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/stage_order.h"
#include "gateway/stages/piece_counts.h"

namespace jujubemast::gateway::stages {

stage_progress::stage_progress(const std::vector<stage_spec>& stages,
                               const std::vector<std::uint32_t>& counts)
    : m_order{stage_order(stages).value_or(std::vector<std::size_t>{})} {
    for (std::size_t n = 0; n < stages.size(); ++n) {
        stage_state added;
        added.service = stages[n].service;
        added.count = piece_count_of(counts, n);
        added.state = added.count == 0 ? phase::made : phase::waiting;
        if (added.count > 0) {
            std::copy_if(stages[n].dependencies.begin(), stages[n].dependencies.end(),
                         std::back_inserter(added.dependencies),
                         [&](std::size_t m) { return piece_count_of(counts, m) > 0; });
        }
        m_stages.push_back(std::move(added));
    }
}

std::vector<std::uint32_t> stage_progress::take_ready(const defer_hook& defer) {
    std::vector<std::uint32_t> ready;
    for (std::uint32_t n = 0; n < m_stages.size(); ++n) {
        auto& it = m_stages[n];
        if (it.state == phase::waiting && inputs_made(it) && !defer(n)) {
            it.state = phase::ordered;
            ready.push_back(n);
        }
    }
    return ready;
}

bool stage_progress::inputs_made(const stage_state& of) const {
    return std::all_of(of.dependencies.begin(), of.dependencies.end(),
                       [&](std::size_t m) { return m_stages[m].state == phase::made; });
}

std::vector<std::string> stage_progress::inputs_of(std::uint32_t stage) const {
    std::vector<std::string> inputs;
    for (const auto n : m_stages[stage].dependencies) {
        inputs.insert(inputs.end(), m_stages[n].handles.begin(), m_stages[n].handles.end());
    }
    return inputs;
}

std::uint32_t stage_progress::count_of(std::uint32_t stage) const {
    return m_stages[stage].count;
}

void stage_progress::complete(std::uint32_t stage, std::vector<std::string> handles) {
    m_stages[stage].state = phase::made;
    m_stages[stage].handles = std::move(handles);
}

bool stage_progress::done() const {
    return std::all_of(m_stages.begin(), m_stages.end(),
                       [](const stage_state& it) { return it.state == phase::made; });
}

bool stage_progress::has_dependent(std::size_t stage) const {
    return std::any_of(m_stages.begin(), m_stages.end(), [&](const auto& it) {
        return std::find(it.dependencies.begin(), it.dependencies.end(), stage) !=
               it.dependencies.end();
    });
}

std::string stage_progress::sole_input_service(std::uint32_t stage) const {
    const auto& needs = m_stages[stage].dependencies;
    if (needs.size() != 1) {
        return {};
    }
    const auto readers = std::count_if(m_stages.begin(), m_stages.end(), [&](const auto& it) {
        return std::find(it.dependencies.begin(), it.dependencies.end(), needs.front()) !=
               it.dependencies.end();
    });
    return readers == 1 ? m_stages[needs.front()].service : std::string{};
}

bool stage_progress::dependents_made(std::size_t stage) const {
    return std::all_of(m_stages.begin(), m_stages.end(), [&](const auto& it) {
        return std::find(it.dependencies.begin(), it.dependencies.end(), stage) ==
                   it.dependencies.end() ||
               it.state == phase::made;
    });
}

std::vector<std::string> stage_progress::final_inputs() const {
    std::vector<std::string> inputs;
    for (std::size_t n = 0; n < m_stages.size(); ++n) {
        if (!has_dependent(n)) {
            inputs.insert(inputs.end(), m_stages[n].handles.begin(), m_stages[n].handles.end());
        }
    }
    return inputs;
}

std::vector<stage_progress::releasable_results> stage_progress::take_releasable(bool all) {
    std::vector<releasable_results> releasable;
    for (std::size_t n = 0; n < m_stages.size(); ++n) {
        auto& it = m_stages[n];
        if (!it.handles.empty() && (all || (has_dependent(n) && dependents_made(n)))) {
            releasable.push_back({it.service, std::exchange(it.handles, {})});
        }
    }
    return releasable;
}

common::duration stage_progress::critical_path_end(std::optional<std::uint32_t> after,
                                                   common::duration start,
                                                   const duration_hook& duration_of) const {
    completion_times completions(m_stages.size());
    if (after) {
        completions[*after] = start;
    }
    auto latest = start;
    for (const auto n : m_order) {
        if (after == n || m_stages[n].count == 0) {
            continue;
        }
        const bool begins_path = !after && m_stages[n].dependencies.empty();
        const auto begin = begins_path ? std::optional{start} : last_completion(n, completions);
        if (!begin) {
            continue;
        }
        completions[n] = *begin + duration_of(static_cast<std::uint32_t>(n), *begin);
        latest = std::max(latest, *completions[n]);
    }
    return latest;
}

std::optional<common::duration>
stage_progress::last_completion(std::size_t stage, const completion_times& completions) const {
    std::optional<common::duration> last;
    for (const auto needed : m_stages[stage].dependencies) {
        last = std::max(last, completions[needed]);
    }
    return last;
}

bool stage_progress::can_defer(std::uint32_t stage, common::duration spare,
                               const duration_hook& duration_of) const {
    constexpr auto now = common::duration::zero();
    if (has_dependent(stage)) {
        return false;
    }
    // Deferral is decided again when a stage completes, so only the time after that counts.
    auto rest = common::duration::zero();
    for (std::uint32_t n = 0; n < m_stages.size(); ++n) {
        if (m_stages[n].state != phase::made && inputs_made(m_stages[n]) && has_dependent(n)) {
            const auto made = duration_of(n, now);
            rest = std::max(rest, critical_path_end(n, made, duration_of) - made);
        }
    }
    // Half of the spare time is kept in reserve for stages that take longer than expected.
    const auto usable_spare = std::max(now, spare) / 2;
    return rest > now && duration_of(stage, now) < rest + usable_spare;
}

void stage_progress::restart() {
    for (auto& it : m_stages) {
        it.state = it.count == 0 ? phase::made : phase::waiting;
        it.handles.clear();
    }
}

} // namespace jujubemast::gateway::stages
