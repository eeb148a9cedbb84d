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

std::string to_text(const std::string& value) {
    return "\"" + value + "\"";
}
std::string to_text(std::int64_t value) {
    return std::to_string(value);
}
std::string to_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}
std::string to_text(bool value) {
    return value ? "true" : "false";
}
std::string to_text(std::chrono::milliseconds value) {
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

/// Collects all faults of one file.
class reader {
public:
    reader(const table& known, std::string source) : m_known{known}, m_source{std::move(source)} {}

    values read(const YAML::Node& root) {
        if (root.IsDefined() && !root.IsNull() && !root.IsMap()) {
            complain(root, "", "the file must hold sections of settings");
        }
        check_unknown(root);
        for (const auto& it : m_known) {
            std::visit([&](const auto* which) { read_one(root, *which); }, it);
        }
        if (!m_faults.empty()) {
            throw common::settings_error{m_faults};
        }
        return m_values;
    }

private:
    template <typename Value>
    void read_one(const YAML::Node& root, const setting<Value>& which) {
        const auto name = std::string{which.section} + "." + std::string{which.key};
        const YAML::Node section =
            root.IsMap() ? root[std::string{which.section}] : YAML::Node{YAML::NodeType::Undefined};
        const YAML::Node node = section.IsDefined() && section.IsMap()
                                    ? section[std::string{which.key}]
                                    : YAML::Node{YAML::NodeType::Undefined};
        if (!node.IsDefined()) {
            if (which.required) {
                complain(section, name, "is required");
            }
            return;
        }
        Value value{};
        try {
            convert(node, value);
        } catch (const YAML::Exception&) {
            complain(node, name, "has a value of the wrong type");
            return;
        }
        if (const auto complaint = which.check ? which.check(value) : std::string{};
            !complaint.empty()) {
            complain(node, name, complaint);
            return;
        }
        m_values.set(which, std::move(value));
    }

    void check_unknown(const YAML::Node& root) {
        if (!root.IsMap()) {
            return;
        }
        std::set<std::string> sections;
        std::map<std::string, std::vector<std::string>> keys;
        for (const auto& it : m_known) {
            std::visit(
                [&](const auto* which) {
                    sections.emplace(which->section);
                    keys[std::string{which->section}].emplace_back(which->key);
                },
                it);
        }
        for (const auto& section : root) {
            const auto name = section.first.as<std::string>();
            if (!sections.contains(name)) {
                complain_unknown(section.first, name, {sections.begin(), sections.end()});
                continue;
            }
            check_keys(name, section.second, keys[name]);
        }
    }

    void check_keys(const std::string& section, const YAML::Node& node,
                    const std::vector<std::string>& known) {
        if (!node.IsMap()) {
            complain(node, section, "must be a section with keys");
            return;
        }
        for (const auto& it : node) {
            const auto key = it.first.as<std::string>();
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                complain_unknown(it.first, key, known);
            }
        }
    }

    void complain_unknown(const YAML::Node& node, const std::string& name,
                          const std::vector<std::string>& known) {
        const auto nearest = nearest_name(name, known);
        complain(node, name,
                 nearest.empty() ? "is unknown" : "is unknown; did you mean " + nearest + "?");
    }

    void complain(const YAML::Node& node, const std::string& name, const std::string& text) {
        const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
        m_faults += (m_faults.empty() ? "" : "\n") + m_source + ":" + std::to_string(line) + ": " +
                    name + " " + text;
    }

    const table& m_known;
    std::string m_source;
    values m_values;
    std::string m_faults;
};

} // namespace

values parse(const table& known, const std::string& text, const std::string& source) {
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception& e) {
        throw common::settings_error{source + ":" + std::to_string(e.mark.line + 1) + ": " + e.msg};
    }
    return reader{known, source}.read(root);
}

std::vector<std::string> values::differing(const values& other) const {
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

values load(const table& known, const std::string& path) {
    const std::ifstream file{path};
    if (!file) {
        throw common::settings_error{path + ": cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(known, text.str(), path);
}

std::string describe(const table& known) {
    std::string text;
    for (const auto& it : known) {
        std::visit(
            [&](const auto* which) {
                text += std::string{which->section} + "." + std::string{which->key} + " (" +
                        (which->required ? "required" : "default " + to_text(which->fallback)) +
                        "): " + std::string{which->help} + "\n";
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
