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
#include "gateway/allowed_regions.h"

namespace jujubemast::gateway {

/// Whether requests of a route may be repeated.
enum class repeatability { idempotent, non_idempotent, stream };

/// Work that must be done before a request can run: a number of pieces made by instances of a
/// service.
struct stage_spec {
    std::string service;
    /// Indexes of the stages whose results this stage needs.
    std::vector<std::size_t> dependencies;
    /// Approximate size of one result in bytes.
    double result_bytes = 0;
};

/// A service that receives a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Routing and quality of service of the requests with one host and path prefix.
struct route {
    /// False if a part that decides where its requests go could not be decoded. The route is kept,
    /// so that its requests are refused and not matched to a route with a shorter prefix.
    bool usable = true;
    std::string name;
    std::string host;
    std::string prefix;
    repeatability kind = repeatability::non_idempotent;
    /// A broken stream may resume at another upstream after its last event.
    bool resumable = false;
    /// Callers need no API key.
    bool is_public = false;
    common::duration timeout = std::chrono::seconds{30};
    /// Latency target: a response within this time has its full value.
    common::duration latency_target = std::chrono::seconds{1};
    /// Longest gap between two events of a stream that is on time.
    common::duration event_gap_target = common::duration::zero();
    /// Smaller values are more urgent.
    int priority = 0;
    unsigned max_attempts = 1;
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
    /// Regions in which the requests and their stages may run.
    allowed_regions regions;
};

/// Limits of one instance of a stage service.
struct piece_limits {
    /// Number of calls that an instance runs concurrently.
    std::size_t slots = 1;
    /// Largest number of pieces in one call.
    std::size_t batch = 1;
    common::duration call_time = std::chrono::milliseconds{100};
    common::duration piece_time = std::chrono::milliseconds{10};
    /// Memory for results.
    double result_memory_bytes = 0;
    /// How long a result is kept after the end of its call.
    common::duration result_lifetime = std::chrono::seconds{1};
};

/// What a cold instance tolerates, for example after its start.
struct warm_up_limit {
    /// How long an instance is cold.
    common::duration time = common::duration::zero();
    /// Requests per second of all gateways together that a cold instance tolerates.
    double rate = 0;
};

struct service {
    std::string name;
    /// Connections that each instance accepts from all gateways together. It resets further ones.
    std::optional<std::size_t> max_connections;
    /// Set for stage services.
    std::optional<piece_limits> pieces;
    /// Set if cold instances have a limit.
    std::optional<warm_up_limit> warm_up;
};

struct workspace {
    /// False if a part that decides where its requests may run could not be decoded. They are
    /// refused then.
    bool usable = true;
    std::string name;
    std::optional<int> priority;
    /// Regions in which its requests and their stages may run, whatever their routes allow.
    allowed_regions regions;
};

/// Limits for the connections of callers. Without a value, that of the gateway's own settings
/// applies.
struct caller_limits {
    /// Limit of the start line and all fields of a request, including trailers.
    std::optional<std::size_t> max_header_bytes;
    std::optional<std::size_t> max_body_bytes;
    /// Longest time from the first byte of a request to the end of its header.
    std::optional<common::duration> header_timeout;
    /// How long a connection may be idle before a request.
    common::duration idle_timeout = std::chrono::seconds{60};
};

/// A part of a configuration that could not be decoded.
struct configuration_fault {
    /// The element that is affected, for example "routes[2] NAME".
    std::string element;
    std::string reason;
};

/// One version of the operator's configuration. Immutable once published. A part that cannot be
/// decoded affects only the requests that need it; the rest of the version is in force.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service> services;
    std::unordered_map<std::string, workspace> workspaces_by_key;
    /// Whether callers must present an API key.
    bool keys_required = false;
    caller_limits limits;
    std::vector<configuration_fault> faults;
    /// Whether host and prefix of all routes are known. Otherwise a request without a route may
    /// belong to one that could not be decoded.
    bool routes_complete = true;
    /// Whether all API keys are known. Otherwise an unknown key may be a valid one.
    bool keys_complete = true;
    /// Indexes into `routes` for each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
};

using configuration_pointer = std::shared_ptr<const configuration>;

/// Fills `routes_by_host` from `routes`.
void index_routes(configuration& config);

/// Marks the routes whose stages cannot all be made as unusable, and records why.
void check_stages(configuration& config);

/// Returns the route of this host with the longest matching path prefix, or null. A port in the
/// host is ignored.
const route* find_route(const configuration& config, std::string_view host, std::string_view path);

/// Returns how long callers of a route wait for the next event of a stream, the first one included,
/// before they give up.
common::duration event_patience(const route& of);

/// Returns the workspace of the API key, or null.
const workspace* find_workspace(const configuration& config, const std::string& key);

/// Chooses one of the weighted services by a random number in [0, 1). Returns an empty string if
/// the route has no services.
std::string choose_service(const route& of, double random_unit);

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::repeatability> {
    static constexpr std::array<std::string_view, 3> table{"idempotent", "non_idempotent",
                                                           "stream"};
};

} // namespace jujubemast::common
