#include "tickets/configuration.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "common/error.h"

namespace jujubemast::tickets {

namespace {

/// Reads the members of one object's state and collects errors.
class object_reader {
public:
    object_reader(std::string name, const boost::json::value& state, std::string& errors)
        : m_name{std::move(name)}, m_errors{errors} {
        if (state.is_object()) {
            m_state = &state.as_object();
        } else {
            add_error("must be an object");
        }
    }

    /// Passes the member to the function, which returns false if the type or the range is wrong.
    void read_member(std::string_view key, bool required,
                     const std::function<bool(const boost::json::value&)>& parse) {
        m_requested_keys.emplace_back(key);
        const auto* value = m_state == nullptr ? nullptr : m_state->if_contains(key);
        if (value == nullptr) {
            if (required) {
                add_error("is missing the key " + std::string{key});
            }
            return;
        }
        if (!parse(*value)) {
            add_error("has an invalid value for " + std::string{key});
        }
    }

    void read_string(std::string_view key, bool required, std::string& out) {
        read_member(key, required, [&](const boost::json::value& it) {
            if (!it.is_string()) {
                return false;
            }
            out = std::string{it.as_string()};
            return true;
        });
    }

    void read_number(std::string_view key, bool required, double min, double max, double& out) {
        read_member(key, required, [&](const boost::json::value& it) {
            if (!it.is_number()) {
                return false;
            }
            out = it.to_number<double>();
            return out >= min && out <= max;
        });
    }

    void read_bool(std::string_view key, bool& out) {
        read_member(key, false, [&](const boost::json::value& it) {
            if (!it.is_bool()) {
                return false;
            }
            out = it.as_bool();
            return true;
        });
    }

    template <typename Enum>
    void read_enum(std::string_view key, bool required, Enum& out) {
        read_member(key, required, [&](const boost::json::value& it) {
            const auto value =
                it.is_string() ? common::from_name<Enum>(it.as_string()) : std::optional<Enum>{};
            out = value.value_or(out);
            return value.has_value();
        });
    }

    /// Adds an error for each member that none of the read functions has asked for.
    void report_unknown_keys() {
        if (m_state == nullptr) {
            return;
        }
        for (const auto& it : *m_state) {
            if (std::find(m_requested_keys.begin(), m_requested_keys.end(), it.key()) ==
                m_requested_keys.end()) {
                add_error("has the unknown key " + std::string{it.key()});
            }
        }
    }

    void add_error(const std::string& text) {
        m_errors += (m_errors.empty() ? "" : "\n") + m_name + " " + text;
    }

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] std::string& errors() const { return m_errors; }

private:
    std::string m_name;
    std::string& m_errors;
    const boost::json::object* m_state = nullptr;
    std::vector<std::string> m_requested_keys;
};

stage_settings read_stage(const std::string& owner, const boost::json::value& state,
                          std::string& errors) {
    stage_settings stage;
    object_reader reader{owner, state, errors};
    reader.read_string("name", true, stage.name);
    reader.read_string("pool", true, stage.pool);
    reader.read_string("operation", true, stage.operation);
    reader.read_string("model", false, stage.model);
    reader.read_bool("idempotent", stage.idempotent);
    reader.report_unknown_keys();
    return stage;
}

pipeline_settings read_pipeline(object_reader& reader) {
    pipeline_settings pipeline;
    reader.read_enum("priority", true, pipeline.priority);
    double deadline_ms = 0;
    reader.read_number("deadline_ms", true, 1, 600000, deadline_ms);
    pipeline.deadline = std::chrono::milliseconds{static_cast<std::int64_t>(deadline_ms)};
    reader.read_member("stages", true, [&](const boost::json::value& it) {
        if (!it.is_array() || it.as_array().empty()) {
            return false;
        }
        for (const auto& stage : it.as_array()) {
            const auto owner =
                reader.name() + " stage " + std::to_string(pipeline.stages.size() + 1);
            pipeline.stages.push_back(read_stage(owner, stage, reader.errors()));
        }
        return true;
    });
    return pipeline;
}

placement_settings read_placement(object_reader& reader) {
    placement_settings placement;
    reader.read_string("pool", true, placement.pool);
    reader.read_string("role", true, placement.role);
    reader.read_member("models", true, [&](const boost::json::value& it) {
        if (!it.is_array() || it.as_array().empty()) {
            return false;
        }
        for (const auto& model : it.as_array()) {
            if (!model.is_string()) {
                return false;
            }
            placement.models.emplace(model.as_string());
        }
        return true;
    });
    return placement;
}

workspace_settings read_workspace(object_reader& reader) {
    workspace_settings workspace;
    reader.read_number("weight", false, 0.001, 1000, workspace.weight);
    reader.read_string("key_sha256", true, workspace.key_sha256);
    if (workspace.key_sha256.size() != 64) {
        reader.add_error("needs 64 hexadecimal digits for key_sha256");
    }
    return workspace;
}

void read_object(configuration& result, object_kind kind, const std::string& name,
                 object_reader& reader) {
    switch (kind) {
    case object_kind::pool: {
        auto& pool = result.pools[name];
        pool.name = name;
        reader.read_enum("kind", true, pool.kind);
        return;
    }
    case object_kind::pipeline: {
        auto& pipeline = result.pipelines[name];
        pipeline = read_pipeline(reader);
        pipeline.name = name;
        return;
    }
    case object_kind::workspace: {
        auto& workspace = result.workspaces[name];
        workspace = read_workspace(reader);
        workspace.name = name;
        if (!result.workspace_of_key.emplace(workspace.key_sha256, name).second) {
            reader.add_error("has the same key_sha256 as another workspace");
        }
        return;
    }
    case object_kind::priority: {
        const auto priority = common::from_name<common::priority>(name);
        if (!priority) {
            reader.add_error("is not a known priority");
            return;
        }
        reader.read_number("floor", true, 0, 1,
                           result.priorities.at(static_cast<std::size_t>(*priority)).floor);
        return;
    }
    case object_kind::placement: {
        auto& placement = result.placements[name];
        placement = read_placement(reader);
        placement.name = name;
        return;
    }
    }
}

/// Checks that every placement belongs to a pool of engines, that each pool has at most one
/// placement, and that it lists every model that a pipeline uses on this pool. Otherwise engines
/// would be told to unload a model that is in use.
void check_placements(const configuration& result,
                      const std::function<void(const std::string&)>& add_error) {
    std::set<std::string> pools;
    for (const auto& [name, placement] : result.placements) {
        const auto pool = result.pools.find(placement.pool);
        if (pool == result.pools.end() || pool->second.kind != pool_kind::engine) {
            add_error("placement/" + name + " needs a pool of kind engine, and pool/" +
                      placement.pool + " is not one");
        }
        if (!pools.insert(placement.pool).second) {
            add_error("placement/" + name + " is a second placement of pool/" + placement.pool);
        }
    }
    for (const auto& [name, pipeline] : result.pipelines) {
        for (const auto& stage : pipeline.stages) {
            const auto* placement = result.placement_of(stage.pool);
            if (placement != nullptr && !stage.model.empty() &&
                !placement->models.contains(stage.model)) {
                add_error("pipeline/" + name + " uses the model " + stage.model +
                          ", which placement/" + placement->name + " does not list");
            }
        }
    }
}

void check_references(const configuration& result, std::string& errors) {
    const auto add_error = [&](const std::string& text) {
        errors += (errors.empty() ? "" : "\n") + text;
    };
    for (const auto& [name, pipeline] : result.pipelines) {
        for (const auto& stage : pipeline.stages) {
            if (!result.pools.contains(stage.pool)) {
                add_error("pipeline/" + name + " refers to the unknown pool/" + stage.pool);
            }
        }
    }
    check_placements(result, add_error);
    double floor_sum = 0;
    for (const auto& it : result.priorities) {
        floor_sum += it.floor;
    }
    if (floor_sum > 1) {
        add_error("the sum of the floors of all priorities exceeds 1");
    }
}

} // namespace

const placement_settings* configuration::placement_of(std::string_view pool) const {
    const auto it = std::find_if(placements.begin(), placements.end(),
                                 [&](const auto& entry) { return entry.second.pool == pool; });
    return it == placements.end() ? nullptr : &it->second;
}

bool pipeline_settings::idempotent() const {
    return std::all_of(stages.begin(), stages.end(),
                       [](const stage_settings& it) { return it.idempotent; });
}

const workspace_settings* configuration::authenticate(std::string_view key) const {
    const auto hash = common::sha256_hex(key);
    const auto name = workspace_of_key.find(hash);
    if (name == workspace_of_key.end() || !common::equal_constant_time(name->first, hash)) {
        return nullptr;
    }
    return &workspaces.find(name->second)->second;
}

configuration parse_configuration(std::uint64_t revision, const object_states& objects) {
    configuration result;
    result.revision = revision;
    result.digest = digest_of(objects);
    std::string errors;
    for (const auto& [full_name, state] : objects) {
        const auto slash = full_name.find('/');
        const auto kind = common::from_name<object_kind>(full_name.substr(0, slash));
        object_reader reader{full_name, state, errors};
        if (!kind || slash == std::string::npos) {
            reader.add_error("is of an unknown kind");
            continue;
        }
        read_object(result, *kind, full_name.substr(slash + 1), reader);
        reader.report_unknown_keys();
    }
    check_references(result, errors);
    if (!errors.empty()) {
        throw common::format_error{errors};
    }
    return result;
}

std::uint64_t digest_of(const object_states& objects) {
    common::content_digest digest;
    for (const auto& [name, state] : objects) {
        digest.update(name);
        digest.update("\n");
        digest.update(boost::json::serialize(state));
        digest.update("\n");
    }
    return digest.value();
}

} // namespace jujubemast::tickets
