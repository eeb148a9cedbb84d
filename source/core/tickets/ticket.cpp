#include "tickets/ticket.h"

#include <optional>
#include <string_view>
#include <utility>

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

#include "common/error.h"

namespace jujubemast::tickets {

namespace {

struct section {
    std::string_view name;
    object_kind kind;
};

constexpr std::array<section, 5> sections{{{"pools", object_kind::pool},
                                           {"pipelines", object_kind::pipeline},
                                           {"workspaces", object_kind::workspace},
                                           {"priorities", object_kind::priority},
                                           {"placements", object_kind::placement}}};

/// Converts a scalar to the JSON type that its text matches. Quoted text stays a string.
boost::json::value scalar_to_json(const YAML::Node& node) {
    if (node.Tag() == "!") {
        return boost::json::value(node.Scalar());
    }
    if (std::int64_t number = 0; YAML::convert<std::int64_t>::decode(node, number)) {
        return number;
    }
    if (double number = 0; YAML::convert<double>::decode(node, number)) {
        return number;
    }
    if (bool flag = false; YAML::convert<bool>::decode(node, flag)) {
        return flag;
    }
    return boost::json::value(node.Scalar());
}

boost::json::value to_json(const YAML::Node& node) {
    switch (node.Type()) {
    case YAML::NodeType::Undefined:
    case YAML::NodeType::Null:
        return nullptr;
    case YAML::NodeType::Scalar:
        return scalar_to_json(node);
    case YAML::NodeType::Sequence: {
        boost::json::array array;
        for (const auto& it : node) {
            array.push_back(to_json(it));
        }
        return array;
    }
    case YAML::NodeType::Map: {
        boost::json::object object;
        for (const auto& it : node) {
            object[it.first.Scalar()] = to_json(it.second);
        }
        return object;
    }
    }
    return nullptr;
}

std::optional<object_kind> kind_of_section(const YAML::Node& node) {
    for (const auto& it : sections) {
        if (it.name == node.Scalar()) {
            return it.kind;
        }
    }
    return std::nullopt;
}

} // namespace

boost::json::value to_json(const ticket& value) {
    boost::json::object objects;
    for (const auto& [name, state] : value.objects) {
        objects[name] = state;
    }
    boost::json::object bases;
    for (const auto& [name, revision] : value.bases) {
        bases[name] = revision;
    }
    boost::json::array previous;
    for (const auto& [name, record] : value.previous) {
        previous.push_back(to_json(name, record));
    }
    return boost::json::object{{"number", value.number},
                               {"state", common::to_name(value.state)},
                               {"objects", std::move(objects)},
                               {"bases", std::move(bases)},
                               {"previous", std::move(previous)},
                               {"revision", value.revision},
                               {"end_revision", value.end_revision},
                               {"supersedes", value.supersedes},
                               {"superseded_by", value.superseded_by},
                               {"creation_token", value.creation_token},
                               {"token", value.token},
                               {"end_token", value.end_token}};
}

ticket ticket_from_json(const boost::json::value& value) {
    try {
        const auto& row = value.as_object();
        const auto number = [&](std::string_view key) {
            return row.at(key).to_number<std::uint64_t>();
        };
        const auto text = [&](std::string_view key) {
            return std::string{row.at(key).as_string()};
        };
        ticket result;
        result.number = number("number");
        result.state = common::from_name<ticket_state>(row.at("state").as_string()).value();
        result.revision = number("revision");
        result.end_revision = number("end_revision");
        result.supersedes = number("supersedes");
        result.superseded_by = number("superseded_by");
        result.creation_token = text("creation_token");
        result.token = text("token");
        result.end_token = text("end_token");
        for (const auto& it : row.at("objects").as_object()) {
            result.objects.emplace(it.key(), it.value());
        }
        for (const auto& it : row.at("bases").as_object()) {
            result.bases.emplace(it.key(), it.value().to_number<std::uint64_t>());
        }
        for (const auto& it : row.at("previous").as_array()) {
            result.previous.insert(record_from_json(it));
        }
        return result;
    } catch (const std::exception& e) {
        throw common::format_error{std::string{"malformed ticket: "} + e.what()};
    }
}

object_records apply_ticket(object_records records, const ticket& change) {
    for (const auto& [name, state] : change.objects) {
        records[name] = {state, change.number, change.revision};
    }
    return records;
}

object_states parse_ticket_file(const std::string& text) {
    object_states objects;
    std::string errors;
    const auto add_error = [&](const YAML::Mark& mark, const std::string& message) {
        errors +=
            (errors.empty() ? "line " : "\nline ") + std::to_string(mark.line + 1) + ": " + message;
    };
    try {
        for (const auto& section_node : YAML::Load(text)) {
            const auto kind = kind_of_section(section_node.first);
            if (!kind) {
                add_error(section_node.first.Mark(),
                          "unknown section " + section_node.first.Scalar());
                continue;
            }
            for (const auto& it : section_node.second) {
                const auto name = std::string{common::to_name(*kind)} + "/" + it.first.Scalar();
                if (!objects.emplace(name, to_json(it.second)).second) {
                    add_error(it.first.Mark(), name + " is defined twice");
                }
            }
        }
    } catch (const YAML::Exception& e) {
        add_error(e.mark, e.msg);
    }
    if (errors.empty() && objects.empty()) {
        errors = "the ticket touches no object";
    }
    if (!errors.empty()) {
        throw common::format_error{errors};
    }
    return objects;
}

} // namespace jujubemast::tickets
