#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>

namespace jujubemast::common {

/// The table of names of an enumeration. A specialization provides a static constexpr
/// `std::array<std::string_view, N>` called `table`, indexed by the enumerators' values 0 to N-1.
template <typename Enum>
struct enum_names;

/// Returns whether the value is a declared enumerator. Compilers print an undeclared value as a
/// cast, for example "(colour)7", inside the name of the function.
template <typename Enum, Enum Value>
consteval bool is_enumerator() {
    const std::string_view name = __PRETTY_FUNCTION__;
    const auto pos = name.find("Value = ");
    return pos != std::string_view::npos && name[pos + 8] != '(';
}

/// Checks at compile time that the table has exactly one name for each enumerator.
template <typename Enum>
consteval bool names_every_enumerator() {
    constexpr auto n = enum_names<Enum>::table.size();
    return is_enumerator<Enum, static_cast<Enum>(n - 1)>() &&
           !is_enumerator<Enum, static_cast<Enum>(n)>();
}

/// Returns the name used in logs, settings and dumps.
template <typename Enum>
constexpr std::string_view to_name(Enum value) {
    static_assert(names_every_enumerator<Enum>(), "the table must name every enumerator");
    return enum_names<Enum>::table.at(static_cast<std::size_t>(value));
}

/// Returns the enumerator with this name, or nothing for an unknown name.
template <typename Enum>
constexpr std::optional<Enum> from_name(std::string_view name) {
    static_assert(names_every_enumerator<Enum>(), "the table must name every enumerator");
    const auto& table = enum_names<Enum>::table;
    for (std::size_t n = 0; n < table.size(); ++n) {
        if (table[n] == name) {
            return static_cast<Enum>(n);
        }
    }
    return std::nullopt;
}

/// Returns the number of enumerators.
template <typename Enum>
constexpr std::size_t enumerator_count() {
    return enum_names<Enum>::table.size();
}

} // namespace jujubemast::common
