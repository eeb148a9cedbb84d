#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/json/fwd.hpp>

#include "common/enum_names.h"
#include "common/types.h"

namespace jujubemast::tickets {

/// The kind of upstream that the sidecars of a pool serve.
enum class pool_kind { service, engine };

/// The kinds of objects that make up a configuration.
enum class object_kind { pool, pipeline, workspace, priority, placement };

struct pool_settings {
    std::string name;
    pool_kind kind = pool_kind::service;
};

struct stage_settings {
    std::string name;
    std::string pool;
    /// Last segment of the URL path at the upstream, for example "encode".
    std::string operation;
    /// Model version that an engine must hold; empty for services.
    std::string model;
    bool idempotent = true;
};

struct pipeline_settings {
    std::string name;
    common::priority priority = common::priority::standard;
    std::chrono::milliseconds deadline{5000};
    std::vector<stage_settings> stages;

    /// Returns whether every stage is idempotent.
    [[nodiscard]] bool idempotent() const;
};

struct workspace_settings {
    std::string name;
    /// Weight of the workspace's share relative to the other workspaces of the same priority.
    double weight = 1.0;
    /// SHA-256 of the API key, in hexadecimal.
    std::string key_sha256;
};

struct priority_settings {
    /// Share of each upstream's capacity that is guaranteed to this priority, from 0 to 1.
    double floor = 0.0;
};

/// The models and the role that the engines of a pool are assigned.
struct placement_settings {
    std::string name;
    std::string pool;
    std::set<std::string> models;
    std::string role;
};

/// The complete configuration at one revision. Immutable once published.
struct configuration {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::map<std::string, pool_settings, std::less<>> pools;
    std::map<std::string, pipeline_settings, std::less<>> pipelines;
    std::map<std::string, workspace_settings, std::less<>> workspaces;
    /// Each pool has at most one placement.
    std::map<std::string, placement_settings, std::less<>> placements;
    /// Names of the workspaces by the SHA-256 of their API key.
    std::unordered_map<std::string, std::string> workspace_of_key;
    std::array<priority_settings, 3> priorities;

    /// Returns the placement of a pool, or null if it has none.
    [[nodiscard]] const placement_settings* placement_of(std::string_view pool) const;

    /// Returns the workspace with this API key, or null if there is none. The key is looked up by
    /// its hash. A caller cannot choose the digits of the hash, so the time of the lookup reveals
    /// nothing about the keys.
    [[nodiscard]] const workspace_settings* authenticate(std::string_view key) const;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/// States of objects by name, for example "pipeline/draft".
using object_states = std::map<std::string, boost::json::value, std::less<>>;

/// Builds a configuration from the states of all objects. Throws a `common::format_error` that
/// lists every error: unknown keys, wrong types, values out of range and references to objects that
/// do not exist.
configuration parse_configuration(std::uint64_t revision, const object_states& objects);

/// Returns a digest of the names and states of all objects, which does not depend on how they were
/// transferred.
std::uint64_t digest_of(const object_states& objects);

} // namespace jujubemast::tickets

namespace jujubemast::common {

template <>
struct enum_names<tickets::pool_kind> {
    static constexpr std::array<std::string_view, 2> table{"service", "engine"};
};

template <>
struct enum_names<tickets::object_kind> {
    static constexpr std::array<std::string_view, 5> table{"pool", "pipeline", "workspace",
                                                           "priority", "placement"};
};

} // namespace jujubemast::common
