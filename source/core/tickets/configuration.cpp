#include "tickets/configuration.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "common/error.h"

namespace jujubemast::tickets {

namespace {

/// Reads the members of one object's state and collects complaints.
class object_reader {
public:
    object_reader(std::string name, const boost::json::value& state, std::string& faults)
        : m_name{std::move(name)}, m_faults{faults} {
        if (state.is_object()) {
            m_state = &state.as_object();
        } else {
            complain("must be an object");
        }
    }

    /// Passes the member to the function, which returns false for a wrong type or range.
    void member(std::string_view key, bool required,
                const std::function<bool(const boost::json::value&)>& take) {
        m_known.emplace_back(key);
        const auto* value = m_state == nullptr ? nullptr : m_state->if_contains(key);
        if (value == nullptr) {
            if (required) {
                complain("lacks " + std::string{key});
            }
            return;
        }
        if (!take(*value)) {
            complain("has a wrong value for " + std::string{key});
        }
    }

    void text(std::string_view key, bool required, std::string& out) {
        member(key, required, [&](const boost::json::value& it) {
            if (!it.is_string()) {
                return false;
            }
            out = std::string{it.as_string()};
            return true;
        });
    }

    void number(std::string_view key, bool required, double low, double high, double& out) {
        member(key, required, [&](const boost::json::value& it) {
            if (!it.is_number()) {
                return false;
            }
            out = it.to_number<double>();
            return out >= low && out <= high;
        });
    }

    void flag(std::string_view key, bool& out) {
        member(key, false, [&](const boost::json::value& it) {
            if (!it.is_bool()) {
                return false;
            }
            out = it.as_bool();
            return true;
        });
    }

    template <typename Enum>
    void name(std::string_view key, bool required, Enum& out) {
        member(key, required, [&](const boost::json::value& it) {
            const auto value =
                it.is_string() ? common::from_name<Enum>(it.as_string()) : std::optional<Enum>{};
            out = value.value_or(out);
            return value.has_value();
        });
    }

    /// Complains about members that no call has asked for.
    void finish() {
        if (m_state == nullptr) {
            return;
        }
        for (const auto& it : *m_state) {
            if (std::find(m_known.begin(), m_known.end(), it.key()) == m_known.end()) {
                complain("has the unknown key " + std::string{it.key()});
            }
        }
    }

    void complain(const std::string& text) {
        m_faults += (m_faults.empty() ? "" : "\n") + m_name + " " + text;
    }

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] std::string& faults() const { return m_faults; }

private:
    std::string m_name;
    std::string& m_faults;
    const boost::json::object* m_state = nullptr;
    std::vector<std::string> m_known;
};

stage_settings read_stage(const std::string& owner, const boost::json::value& state,
                          std::string& faults) {
    stage_settings stage;
    object_reader reader{owner, state, faults};
    reader.text("name", true, stage.name);
    reader.text("pool", true, stage.pool);
    reader.text("operation", true, stage.operation);
    reader.text("model", false, stage.model);
    reader.flag("idempotent", stage.idempotent);
    reader.finish();
    return stage;
}

pipeline_settings read_pipeline(object_reader& reader) {
    pipeline_settings pipeline;
    reader.name("priority", true, pipeline.priority);
    double deadline_ms = 0;
    reader.number("deadline_ms", true, 1, 600000, deadline_ms);
    pipeline.deadline = std::chrono::milliseconds{static_cast<std::int64_t>(deadline_ms)};
    reader.member("stages", true, [&](const boost::json::value& it) {
        if (!it.is_array() || it.as_array().empty()) {
            return false;
        }
        for (const auto& stage : it.as_array()) {
            const auto owner =
                reader.name() + " stage " + std::to_string(pipeline.stages.size() + 1);
            pipeline.stages.push_back(read_stage(owner, stage, reader.faults()));
        }
        return true;
    });
    return pipeline;
}

placement_settings read_placement(object_reader& reader) {
    placement_settings placement;
    reader.text("pool", true, placement.pool);
    reader.text("role", true, placement.role);
    reader.member("models", true, [&](const boost::json::value& it) {
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
    reader.number("weight", false, 0.001, 1000, workspace.weight);
    reader.text("key_sha256", true, workspace.key_sha256);
    if (workspace.key_sha256.size() != 64) {
        reader.complain("needs 64 hexadecimal digits for key_sha256");
    }
    return workspace;
}

void read_object(configuration& result, object_kind kind, const std::string& name,
                 object_reader& reader) {
    switch (kind) {
    case object_kind::pool: {
        auto& pool = result.pools[name];
        pool.name = name;
        reader.name("kind", true, pool.kind);
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
            reader.complain("has the key of another workspace");
        }
        return;
    }
    case object_kind::priority: {
        const auto priority = common::from_name<common::priority>(name);
        if (!priority) {
            reader.complain("names an unknown priority");
            return;
        }
        reader.number("floor", true, 0, 1,
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

/// A model that a pipeline uses must stay in the placement of its pool, so that no engine is told
/// to drop it.
void check_placements(const configuration& result,
                      const std::function<void(const std::string&)>& complain) {
    std::set<std::string> pools;
    for (const auto& [name, placement] : result.placements) {
        const auto pool = result.pools.find(placement.pool);
        if (pool == result.pools.end() || pool->second.kind != pool_kind::engine) {
            complain("placement/" + name + " needs a pool of engines, which pool/" +
                     placement.pool + " is not");
        }
        if (!pools.insert(placement.pool).second) {
            complain("placement/" + name + " is not the only one of pool/" + placement.pool);
        }
    }
    for (const auto& [name, pipeline] : result.pipelines) {
        for (const auto& stage : pipeline.stages) {
            const auto* placement = result.placement_of(stage.pool);
            if (placement != nullptr && !stage.model.empty() &&
                !placement->models.contains(stage.model)) {
                complain("pipeline/" + name + " uses the model " + stage.model +
                         ", which placement/" + placement->name + " lacks");
            }
        }
    }
}

void check_references(const configuration& result, std::string& faults) {
    const auto complain = [&](const std::string& text) {
        faults += (faults.empty() ? "" : "\n") + text;
    };
    for (const auto& [name, pipeline] : result.pipelines) {
        for (const auto& stage : pipeline.stages) {
            if (!result.pools.contains(stage.pool)) {
                complain("pipeline/" + name + " refers to the absent pool/" + stage.pool);
            }
        }
    }
    check_placements(result, complain);
    double floors = 0;
    for (const auto& it : result.priorities) {
        floors += it.floor;
    }
    if (floors > 1) {
        complain("the floors of all priorities exceed 1 in sum");
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
    std::string faults;
    for (const auto& [full_name, state] : objects) {
        const auto slash = full_name.find('/');
        const auto kind = common::from_name<object_kind>(full_name.substr(0, slash));
        object_reader reader{full_name, state, faults};
        if (!kind || slash == std::string::npos) {
            reader.complain("is not of a known kind");
            continue;
        }
        read_object(result, *kind, full_name.substr(slash + 1), reader);
        reader.finish();
    }
    check_references(result, faults);
    if (!faults.empty()) {
        throw common::format_error{faults};
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
