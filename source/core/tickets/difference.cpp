#include "tickets/difference.h"

#include <map>
#include <set>

#include <boost/json.hpp>

namespace jujubemast::tickets {

namespace {

using members = std::map<std::string, std::string>;

void flatten(const std::string& path, const boost::json::value& value, members& out) {
    if (const auto* object = value.if_object()) {
        for (const auto& it : *object) {
            flatten(path + (path.empty() ? "" : ".") + std::string{it.key()}, it.value(), out);
        }
    } else if (const auto* array = value.if_array()) {
        for (std::size_t n = 0; n < array->size(); ++n) {
            flatten(path + "[" + std::to_string(n) + "]", (*array)[n], out);
        }
    } else if (!value.is_null()) {
        out[path] = boost::json::serialize(value);
    }
}

members members_of(const object_states& states, const std::string& name) {
    members result;
    if (const auto it = states.find(name); it != states.end()) {
        flatten("", it->second, result);
    }
    return result;
}

} // namespace

std::vector<difference> compare(const object_states& before, const object_states& after) {
    std::set<std::string> names;
    for (const auto* states : {&before, &after}) {
        for (const auto& it : *states) {
            names.insert(it.first);
        }
    }
    std::vector<difference> result;
    for (const auto& name : names) {
        auto old_members = members_of(before, name);
        auto new_members = members_of(after, name);
        std::set<std::string> paths;
        for (const auto* side : {&old_members, &new_members}) {
            for (const auto& it : *side) {
                paths.insert(it.first);
            }
        }
        for (const auto& path : paths) {
            if (old_members[path] != new_members[path]) {
                result.push_back({name, path, old_members[path], new_members[path]});
            }
        }
    }
    return result;
}

} // namespace jujubemast::tickets
