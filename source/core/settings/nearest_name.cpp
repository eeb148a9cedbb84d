#include "settings/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace jujubemast::settings {

namespace {

// Levenshtein distance, computed row by row.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_name(std::string_view name, const std::vector<std::string>& candidates) {
    std::string best;
    std::size_t best_distance = name.size() / 2 + 1;
    for (const auto& it : candidates) {
        const auto distance = edit_distance(name, it);
        if (distance < best_distance) {
            best_distance = distance;
            best = it;
        }
    }
    return best;
}

} // namespace jujubemast::settings
