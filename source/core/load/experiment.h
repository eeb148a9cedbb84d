#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/types.h"

namespace jujubemast::load {

/// How requests arrive within a phase.
enum class arrival_pattern { poisson, burst };

/// A range, including both ends, from which numbers are drawn uniformly.
struct number_range {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
};

/// The properties of a pipeline that the client needs.
struct pipeline_target {
    std::string name;
    common::priority priority = common::priority::standard;
    std::chrono::milliseconds deadline{5000};
    /// Operations of the stages, in order.
    std::vector<std::string> operations;
    /// Whether the client may resend a request after it found its connection closed. Requests to
    /// pipelines that are not idempotent get an idempotency key.
    bool idempotent = true;
};

struct workspace_credential {
    std::string name;
    std::string key;
};

/// Weight of a workspace within a traffic class.
struct workspace_share {
    std::string workspace;
    double weight = 1.0;
};

/// Requests with common properties and their own arrival process.
struct traffic_class {
    std::string name;
    std::string pipeline;
    /// Weight with which the class takes part in the load of a phase.
    double share = 0.0;
    std::vector<workspace_share> workspaces;
    number_range input_bytes{64, 64};
    number_range max_tokens{16, 16};
    /// Number of different inputs from which the requests draw theirs, so that equal inputs recur.
    std::uint64_t distinct_inputs = 1000;
    bool stream = false;
    /// Priority to request in place of the pipeline's. A higher one than the pipeline's is ignored.
    std::optional<common::priority> priority;
};

/// A period of constant offered load.
struct load_phase {
    std::string name;
    std::chrono::milliseconds duration{0};
    /// Requests per second, divided among the classes by their shares.
    double rate_per_s = 0.0;
    /// Additional requests per second of individual classes, by name of the class.
    std::map<std::string, double, std::less<>> extra_per_s;
    arrival_pattern pattern = arrival_pattern::poisson;
    std::uint64_t burst_size = 1;
    /// Whether the report contains the phase. False, for example, for a phase that fills caches.
    bool measured = true;
};

/// The contents of an experiment file.
struct experiment {
    std::uint64_t seed = 1;
    double capacity_per_s = 0.0;
    /// Maximum number of requests in progress. It also limits the client's connections.
    std::size_t max_in_progress = 2000;
    std::map<std::string, pipeline_target, std::less<>> pipelines;
    std::map<std::string, workspace_credential, std::less<>> workspaces;
    std::vector<traffic_class> traffic;
    std::vector<load_phase> phases;
};

/// Parses an experiment from YAML. Throws `common::settings_error` with the source, the line and
/// the key of the first error.
experiment parse_experiment(const std::string& text, const std::string& source);

/// Reads an experiment from a file. Throws like `parse_experiment`.
experiment load_experiment(const std::string& path);

} // namespace jujubemast::load

namespace jujubemast::common {

template <>
struct enum_names<load::arrival_pattern> {
    static constexpr std::array<std::string_view, 2> table{"poisson", "burst"};
};

} // namespace jujubemast::common
