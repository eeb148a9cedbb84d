#include "ctl/yaml_output.h"

#include <boost/json.hpp>
#include <yaml-cpp/yaml.h>

namespace jujubemast::ctl {

namespace {

void emit(YAML::Emitter& out, const boost::json::value& value) {
    if (const auto* object = value.if_object()) {
        out << YAML::BeginMap;
        for (const auto& it : *object) {
            out << YAML::Key << std::string{it.key()} << YAML::Value;
            emit(out, it.value());
        }
        out << YAML::EndMap;
    } else if (const auto* array = value.if_array()) {
        out << YAML::BeginSeq;
        for (const auto& it : *array) {
            emit(out, it);
        }
        out << YAML::EndSeq;
    } else if (const auto* text = value.if_string()) {
        out << std::string{*text};
    } else {
        out << boost::json::serialize(value);
    }
}

} // namespace

std::string to_yaml(const boost::json::value& value) {
    YAML::Emitter out;
    emit(out, value);
    return out.c_str();
}

} // namespace jujubemast::ctl
