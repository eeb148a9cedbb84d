#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::gateway {

/// What a route's requests allow to be repeated.
enum class repeatability { idempotent, non_idempotent, stream };

/// Work that a request needs before it can run: pieces made by instances of a service.
struct stage_spec {
    std::string service;
    /// Positions of the stages whose results this one needs.
    std::vector<std::size_t> dependencies;
    /// Approximate size of one result in bytes.
    double result_bytes = 0;
};

/// A service that takes a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Where requests of one host and path prefix go, and what they promise.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    repeatability kind = repeatability::non_idempotent;
    /// A broken stream may go on at another upstream from its last event.
    bool resumable = false;
    /// Callers need no key.
    bool is_public = false;
    common::duration timeout = std::chrono::seconds{30};
    /// Time within which an answer earns its full credit.
    common::duration latency_target = std::chrono::seconds{1};
    /// Longest pause between two events of a stream that is on time.
    common::duration event_gap_target = common::duration::zero();
    /// Smaller is more urgent.
    int priority = 0;
    unsigned max_attempts = 1;
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
};

/// Limits of one instance of a stage service.
struct piece_limits {
    /// Calls worked on at the same time.
    std::size_t slots = 1;
    /// Pieces in one call.
    std::size_t batch = 1;
    common::duration call_time = std::chrono::milliseconds{100};
    common::duration piece_time = std::chrono::milliseconds{10};
    /// Room for results.
    double result_memory_bytes = 0;
    /// How long a result stays after the end of its call.
    common::duration result_lifetime = std::chrono::seconds{1};
};

struct service {
    std::string name;
    /// Present for services that make pieces of stages.
    std::optional<piece_limits> pieces;
};

struct workspace {
    std::string name;
    std::optional<int> priority;
};

/// What callers' connections are bounded by.
struct caller_limits {
    common::duration idle_timeout = std::chrono::seconds{60};
};

/// One version of the operator's configuration. Immutable once published.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service> services;
    std::unordered_map<std::string, workspace> workspaces_by_key;
    /// Whether callers must present a key at all.
    bool keys_required = false;
    caller_limits limits;
    /// Positions in `routes` of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/// Fills `routes_by_host` from `routes`.
void index_routes(configuration& target);

/// Returns the route with the longest prefix of this path on this host, or null. The host may carry
/// a port, which is ignored.
const route* find_route(const configuration& known, std::string_view host, std::string_view path);

/// Returns the workspace that holds the key, or null.
const workspace* find_workspace(const configuration& known, const std::string& key);

/// Chooses one of the weighted services by a number in [0, 1). Empty without services.
std::string choose_service(const route& of, double random_unit);

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::repeatability> {
    static constexpr std::array<std::string_view, 3> table{"idempotent", "non_idempotent",
                                                           "stream"};
};

} // namespace jujubemast::common
