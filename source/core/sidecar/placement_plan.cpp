#include "sidecar/placement_plan.h"

#include <algorithm>

namespace jujubemast::sidecar {

std::optional<engine_order> next_order(const engine_state& state, const placement_target& target) {
    if (state.fencing > target.revision) {
        return std::nullopt;
    }
    const auto missing =
        std::find_if(target.models.begin(), target.models.end(),
                     [&](const std::string& it) { return !state.models.contains(it); });
    if (missing != target.models.end()) {
        auto models = state.models;
        models.insert(*missing);
        return engine_order{std::move(models), state.role, target.revision};
    }
    if (state.role != target.role) {
        return engine_order{state.models, target.role, target.revision};
    }
    if (state.models != target.models) {
        return engine_order{target.models, target.role, target.revision};
    }
    return std::nullopt;
}

bool pause_detector::observe(common::time_point now) {
    const bool paused = m_last && now - *m_last > m_limit;
    m_last = now;
    return paused;
}

} // namespace jujubemast::sidecar
