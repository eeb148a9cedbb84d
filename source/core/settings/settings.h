#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jujubemast::settings {

/// Definition of a setting: its section and key in the file, its default and its description. A
/// required setting has no default. `check` returns an error text, or an empty string for a valid
/// value.
template <typename Value>
struct setting {
    std::string_view section;
    std::string_view key;
    Value fallback{};
    std::string_view help;
    bool required = false;
    std::function<std::string(const Value&)> check = {};
};

using any_setting =
    std::variant<const setting<std::string>*, const setting<std::int64_t>*, const setting<double>*,
                 const setting<bool>*, const setting<std::chrono::milliseconds>*>;

/// All settings of a program.
using table = std::vector<any_setting>;

/// The checked values of a settings file.
class values {
public:
    /// Returns the value from the file, or the default.
    template <typename Value>
    [[nodiscard]] Value get(const setting<Value>& definition) const {
        const auto it = m_values.find(name_of(definition.section, definition.key));
        return it == m_values.end() ? definition.fallback : std::get<Value>(it->second);
    }

    template <typename Value>
    void set(const setting<Value>& definition, Value value) {
        m_values[name_of(definition.section, definition.key)] = std::move(value);
    }

    /// Returns the names of the settings that differ between the two files, including those that
    /// only one of them contains.
    [[nodiscard]] std::vector<std::string> changed_names(const values& other) const;

private:
    using any_value =
        std::variant<std::string, std::int64_t, double, bool, std::chrono::milliseconds>;

    static std::string name_of(std::string_view section, std::string_view key) {
        return std::string{section} + "." + std::string{key};
    }

    std::map<std::string, any_value> m_values;
};

/// Reads a YAML settings file. Throws `common::settings_error` with one line for each error, which
/// states file, line and key.
values load(const table& definitions, const std::string& path);

/// Reads settings from YAML text; `source` is the name of the text in error messages.
values parse(const table& definitions, const std::string& text, const std::string& source);

/// Lists all settings with their defaults and descriptions, one line each.
std::string describe(const table& definitions);

/// Check for settings that hold an address of the form IP:PORT.
std::string check_address(const std::string& value);

/// Check for durations and counts that must be positive.
std::string check_positive(std::int64_t value);
std::string check_positive_duration(std::chrono::milliseconds value);

} // namespace jujubemast::settings
