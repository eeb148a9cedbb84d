#include "gateway/stages/piece_counts.h"

#include <algorithm>

namespace jujubemast::gateway::stages {

std::uint32_t piece_count_of(const std::vector<std::uint32_t>& counts, std::size_t stage) {
    return stage < counts.size() ? counts[stage] : 0;
}

piece_count_fault check_piece_counts(const std::vector<stage_spec>& stages,
                                     const std::vector<std::uint32_t>& counts) {
    if (stages.empty()) {
        return piece_count_fault::none;
    }
    const auto is_made = [&](std::size_t n) { return piece_count_of(counts, n) > 0; };
    for (std::size_t n = stages.size(); n < counts.size(); ++n) {
        if (is_made(n)) {
            return piece_count_fault::unknown_stage;
        }
    }
    for (std::size_t n = 0; n < stages.size(); ++n) {
        const auto& needed = stages[n].dependencies;
        if (is_made(n) && !needed.empty() && std::none_of(needed.begin(), needed.end(), is_made)) {
            return piece_count_fault::missing_input;
        }
    }
    return piece_count_fault::none;
}

} // namespace jujubemast::gateway::stages
