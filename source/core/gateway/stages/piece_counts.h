#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "gateway/configuration.h"

namespace jujubemast::gateway::stages {

/// Why a request cannot be served with the numbers of pieces that it specifies.
enum class piece_count_fault {
    none,
    /// It has pieces for a stage that the route does not have.
    unknown_stage,
    /// It omits all stages that another one depends on. The pieces of that one would have to be
    /// made without inputs.
    missing_input
};

/// Checks a request's numbers of pieces against the stages of its route. A route without stages
/// ignores them. Zero, or no number, omits a stage; a request may omit all of them. A stage that
/// depends on several gets the results of those that are not omitted. It never gets the results of
/// stages further up in place of an omitted one, because they are not what it works on.
piece_count_fault check_piece_counts(const std::vector<stage_spec>& stages,
                                     const std::vector<std::uint32_t>& counts);

/// Returns the number of pieces of a stage. Stages without a number are omitted.
std::uint32_t piece_count_of(const std::vector<std::uint32_t>& counts, std::size_t stage);

} // namespace jujubemast::gateway::stages

namespace jujubemast::common {

template <>
struct enum_names<gateway::stages::piece_count_fault> {
    static constexpr std::array<std::string_view, 3> table{"none", "unknown_stage",
                                                           "missing_input"};
};

} // namespace jujubemast::common
