#include "tickets/ticket.h"

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

#include "common/error.h"

namespace jujubemast::tickets {

namespace {

struct section {
    std::string_view name;
    object_kind kind;
};

constexpr std::array<section, 4> sections{{{"pools", object_kind::pool},
                                           {"pipelines", object_kind::pipeline},
                                           {"workspaces", object_kind::workspace},
                                           {"priorities", object_kind::priority}}};

/// Converts a scalar to the JSON type that its text has; quoted text stays a string.
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

object_kind kind_of_section(const YAML::Node& node) {
    for (const auto& it : sections) {
        if (it.name == node.Scalar()) {
            return it.kind;
        }
    }
    throw common::format_error{"line " + std::to_string(node.Mark().line + 1) +
                               ": unknown section " + node.Scalar()};
}

} // namespace

boost::json::value to_json(const ticket& value) {
    boost::json::object objects;
    for (const auto& [name, state] : value.objects) {
        objects[name] = state;
    }
    return boost::json::object{{"number", value.number},
                               {"state", common::to_name(value.state)},
                               {"objects", std::move(objects)},
                               {"revision", value.revision},
                               {"token", value.token}};
}

ticket ticket_from_json(const boost::json::value& value) {
    try {
        const auto& row = value.as_object();
        ticket result;
        result.number = row.at("number").to_number<std::uint64_t>();
        result.state = common::from_name<ticket_state>(row.at("state").as_string()).value();
        result.revision = row.at("revision").to_number<std::uint64_t>();
        result.token = std::string{row.at("token").as_string()};
        for (const auto& it : row.at("objects").as_object()) {
            result.objects.emplace(it.key(), it.value());
        }
        return result;
    } catch (const std::exception& e) {
        throw common::format_error{std::string{"not a ticket: "} + e.what()};
    }
}

object_states apply_ticket(object_states objects, const ticket& change) {
    for (const auto& [name, state] : change.objects) {
        if (state.is_null()) {
            objects.erase(name);
        } else {
            objects[name] = state;
        }
    }
    return objects;
}

object_states parse_ticket_file(const std::string& text) {
    try {
        object_states objects;
        for (const auto& part : YAML::Load(text)) {
            const auto kind = kind_of_section(part.first);
            for (const auto& it : part.second) {
                objects.emplace(std::string{common::to_name(kind)} + "/" + it.first.Scalar(),
                                to_json(it.second));
            }
        }
        return objects;
    } catch (const YAML::Exception& e) {
        throw common::format_error{"line " + std::to_string(e.mark.line + 1) + ": " + e.msg};
    }
}

} // namespace jujubemast::tickets
