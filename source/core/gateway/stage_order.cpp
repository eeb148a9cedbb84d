#include "gateway/stage_order.h"

namespace jujubemast::gateway {

std::optional<std::vector<std::size_t>> stage_order(const std::vector<stage_spec>& stages) {
    std::vector<std::vector<std::size_t>> dependents(stages.size());
    std::vector<std::size_t> missing(stages.size());
    for (std::size_t n = 0; n < stages.size(); ++n) {
        for (const auto needed : stages[n].dependencies) {
            if (needed >= stages.size()) {
                return std::nullopt;
            }
            dependents[needed].push_back(n);
            ++missing[n];
        }
    }
    std::vector<std::size_t> order;
    order.reserve(stages.size());
    for (std::size_t n = 0; n < stages.size(); ++n) {
        if (missing[n] == 0) {
            order.push_back(n);
        }
    }
    // The loop also visits the stages that it appends.
    for (std::size_t position = 0; position < order.size(); ++position) {
        for (const auto dependent : dependents[order[position]]) {
            if (--missing[dependent] == 0) {
                order.push_back(dependent);
            }
        }
    }
    if (order.size() < stages.size()) {
        return std::nullopt;
    }
    return order;
}

} // namespace jujubemast::gateway
