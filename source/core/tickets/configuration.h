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

/// What stands behind the sidecars of a pool.
enum class pool_kind { service, engine };

/// The kinds of objects that tickets carry.
enum class object_kind { pool, pipeline, workspace, priority, placement };

struct pool_settings {
    std::string name;
    pool_kind kind = pool_kind::service;
};

struct stage_settings {
    std::string name;
    std::string pool;
    /// Last path segment of the call to the upstream, for example "encode".
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

    /// Whether every stage may be repeated.
    [[nodiscard]] bool idempotent() const;
};

struct workspace_settings {
    std::string name;
    /// Share relative to the other workspaces of the same priority.
    double weight = 1.0;
    /// SHA-256 of the credential, in hexadecimal.
    std::string key_sha256;
};

struct priority_settings {
    /// Share of each upstream's capacity that floods of other priorities cannot take, 0 to 1.
    double floor = 0.0;
};

/// What the engines of a pool are to hold.
struct placement_settings {
    std::string name;
    std::string pool;
    std::set<std::string> models;
    std::string role;
};

/// The whole configuration in force at one revision. Immutable once published.
struct configuration {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::map<std::string, pool_settings, std::less<>> pools;
    std::map<std::string, pipeline_settings, std::less<>> pipelines;
    std::map<std::string, workspace_settings, std::less<>> workspaces;
    /// At most one for each pool.
    std::map<std::string, placement_settings, std::less<>> placements;
    /// Names of the workspaces by the SHA-256 of their credential.
    std::unordered_map<std::string, std::string> workspace_of_key;
    std::array<priority_settings, 3> priorities;

    /// Returns the placement of a pool, or null.
    [[nodiscard]] const placement_settings* placement_of(std::string_view pool) const;

    /// Returns the workspace whose credential this is, or null. The look-up is by the hash, whose
    /// digits a caller cannot choose, so its time tells nothing of the credentials.
    [[nodiscard]] const workspace_settings* authenticate(std::string_view key) const;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/// States of objects by name, such as "pipeline/draft".
using object_states = std::map<std::string, boost::json::value, std::less<>>;

/// Builds a configuration from the states of all objects. Throws `common::format_error` that lists
/// every fault: unknown keys, wrong types, values out of range, references to absent objects.
configuration parse_configuration(std::uint64_t revision, const object_states& objects);

/// Digest over names and states of all objects; independent of how they were transferred.
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
