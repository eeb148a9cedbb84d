#include "settings/settings.h"

#include <fstream>
#include <set>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "common/error.h"
#include "http/message.h"
#include "settings/nearest_name.h"

namespace jujubemast::settings {

namespace {

std::string format_value(const std::string& value) {
    return "\"" + value + "\"";
}
std::string format_value(std::int64_t value) {
    return std::to_string(value);
}
std::string format_value(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}
std::string format_value(bool value) {
    return value ? "true" : "false";
}
std::string format_value(std::chrono::milliseconds value) {
    return std::to_string(value.count());
}

void convert(const YAML::Node& node, std::string& out) {
    out = node.as<std::string>();
}
void convert(const YAML::Node& node, std::int64_t& out) {
    out = node.as<std::int64_t>();
}
void convert(const YAML::Node& node, double& out) {
    out = node.as<double>();
}
void convert(const YAML::Node& node, bool& out) {
    out = node.as<bool>();
}
void convert(const YAML::Node& node, std::chrono::milliseconds& out) {
    out = std::chrono::milliseconds{node.as<std::int64_t>()};
}

/// Reads the settings of one file and collects all errors in it.
class settings_reader {
public:
    settings_reader(const table& definitions, std::string source)
        : m_definitions{definitions}, m_source{std::move(source)} {}

    values read(const YAML::Node& root) {
        if (root.IsDefined() && !root.IsNull() && !root.IsMap()) {
            add_error(root, "", "the file must contain sections of settings");
        }
        check_sections(root);
        for (const auto& it : m_definitions) {
            std::visit([&](const auto* definition) { read_setting(root, *definition); }, it);
        }
        if (!m_errors.empty()) {
            throw common::settings_error{m_errors};
        }
        return m_values;
    }

private:
    template <typename Value>
    void read_setting(const YAML::Node& root, const setting<Value>& definition) {
        const auto name = std::string{definition.section} + "." + std::string{definition.key};
        const YAML::Node section = root.IsMap() ? root[std::string{definition.section}]
                                                : YAML::Node{YAML::NodeType::Undefined};
        const YAML::Node node = section.IsDefined() && section.IsMap()
                                    ? section[std::string{definition.key}]
                                    : YAML::Node{YAML::NodeType::Undefined};
        // A template leaves a key without a value where the value is not known.
        if (!node.IsDefined() || node.IsNull()) {
            if (definition.required) {
                add_error(section, name, "is required");
            }
            return;
        }
        Value value{};
        try {
            convert(node, value);
        } catch (const YAML::Exception&) {
            add_error(node, name, "has a value of the wrong type");
            return;
        }
        if (const auto error = definition.check ? definition.check(value) : std::string{};
            !error.empty()) {
            add_error(node, name, error);
            return;
        }
        m_values.set(definition, std::move(value));
    }

    void check_sections(const YAML::Node& root) {
        if (!root.IsMap()) {
            return;
        }
        std::set<std::string> sections;
        std::map<std::string, std::vector<std::string>> keys;
        for (const auto& it : m_definitions) {
            std::visit(
                [&](const auto* definition) {
                    sections.emplace(definition->section);
                    keys[std::string{definition->section}].emplace_back(definition->key);
                },
                it);
        }
        for (const auto& section : root) {
            const auto name = section.first.as<std::string>();
            if (!sections.contains(name)) {
                add_unknown_name_error(section.first, name, {sections.begin(), sections.end()});
                continue;
            }
            check_keys(name, section.second, keys[name]);
        }
    }

    void check_keys(const std::string& section, const YAML::Node& node,
                    const std::vector<std::string>& known) {
        if (!node.IsMap()) {
            add_error(node, section, "must be a section with keys");
            return;
        }
        for (const auto& it : node) {
            const auto key = it.first.as<std::string>();
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                add_unknown_name_error(it.first, key, known);
            }
        }
    }

    void add_unknown_name_error(const YAML::Node& node, const std::string& name,
                                const std::vector<std::string>& known) {
        const auto nearest = nearest_name(name, known);
        add_error(node, name,
                  nearest.empty() ? "is unknown" : "is unknown; did you mean " + nearest + "?");
    }

    void add_error(const YAML::Node& node, const std::string& name, const std::string& text) {
        const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
        m_errors += (m_errors.empty() ? "" : "\n") + m_source + ":" + std::to_string(line) + ": " +
                    name + " " + text;
    }

    const table& m_definitions;
    std::string m_source;
    values m_values;
    std::string m_errors;
};

} // namespace

values parse(const table& definitions, const std::string& text, const std::string& source) {
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception& e) {
        throw common::settings_error{source + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg};
    }
    return settings_reader{definitions, source}.read(root);
}

std::vector<std::string> values::changed_names(const values& other) const {
    std::vector<std::string> names;
    for (const auto& [name, value] : m_values) {
        const auto it = other.m_values.find(name);
        if (it == other.m_values.end() || it->second != value) {
            names.push_back(name);
        }
    }
    for (const auto& [name, value] : other.m_values) {
        if (!m_values.contains(name)) {
            names.push_back(name);
        }
    }
    return names;
}

values load(const table& definitions, const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        throw common::settings_error{path + ": cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(definitions, text.str(), path);
}

std::string describe(const table& definitions) {
    std::string text;
    for (const auto& it : definitions) {
        std::visit(
            [&](const auto* definition) {
                text += std::string{definition->section} + "." + std::string{definition->key} +
                        " (" +
                        (definition->required ? "required"
                                              : "default " + format_value(definition->fallback)) +
                        "): " + std::string{definition->help} + "\n";
            },
            it);
    }
    return text;
}

std::string check_address(const std::string& value) {
    try {
        http::parse_endpoint(value);
        return {};
    } catch (const common::format_error& e) {
        return e.what();
    }
}

std::string check_positive(std::int64_t value) {
    return value > 0 ? "" : "must be positive";
}

std::string check_positive_duration(std::chrono::milliseconds value) {
    return check_positive(value.count());
}

} // namespace jujubemast::settings
