#pragma once

#include <array>
#include <string_view>

#include "common/enum_names.h"

namespace jujubemast::common {

/// Priority classes, most urgent first. Work of a smaller value is served first.
enum class priority { urgent, standard, background };

template <>
struct enum_names<priority> {
    static constexpr std::array<std::string_view, 3> table{"urgent", "standard", "background"};
};

/// Whether refused or failed work was executed.
enum class execution { not_run, ran, unknown };

template <>
struct enum_names<execution> {
    static constexpr std::array<std::string_view, 3> table{"not_run", "ran", "unknown"};
};

} // namespace jujubemast::common
