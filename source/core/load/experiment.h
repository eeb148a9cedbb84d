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

/// A closed range from which numbers are drawn uniformly.
struct number_range {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
};

/// What the client has to know of a pipeline.
struct pipeline_target {
    std::string name;
    common::priority priority = common::priority::standard;
    std::chrono::milliseconds deadline{5000};
    /// The operations of its stages, in order.
    std::vector<std::string> operations;
    /// False for a pipeline that must not be sent again over a connection found closed.
    bool idempotent = true;
};

struct workspace_credential {
    std::string name;
    std::string key;
};

/// A share of the traffic of one kind from one workspace.
struct workspace_share {
    std::string workspace;
    double weight = 1.0;
};

/// A kind of request, sent with its own arrival process.
struct traffic_class {
    std::string name;
    std::string pipeline;
    /// Share of the phase's load.
    double share = 0.0;
    std::vector<workspace_share> workspaces;
    number_range input_bytes{64, 64};
    number_range max_tokens{16, 16};
    /// Requests draw their input from this many different ones, so that equal inputs recur.
    std::uint64_t distinct_inputs = 1000;
    bool stream = false;
    /// Asks for a lower priority than the pipeline's.
    std::optional<common::priority> priority;
};

/// A time of constant offered load.
struct load_phase {
    std::string name;
    std::chrono::milliseconds duration{0};
    /// Requests per second over all classes with a share.
    double rate_per_s = 0.0;
    /// Further requests per second of single classes, by their name.
    std::map<std::string, double, std::less<>> extra_per_s;
    arrival_pattern pattern = arrival_pattern::poisson;
    std::uint64_t burst_size = 1;
    /// An unmeasured phase is left out of the report, for example while caches fill.
    bool measured = true;
};

/// A whole experiment.
struct experiment {
    std::uint64_t seed = 1;
    double capacity_per_s = 0.0;
    /// Requests in progress at the same time; bounds the client's connections.
    std::size_t max_in_progress = 2000;
    std::map<std::string, pipeline_target, std::less<>> pipelines;
    std::map<std::string, workspace_credential, std::less<>> workspaces;
    std::vector<traffic_class> traffic;
    std::vector<load_phase> phases;
};

/// Reads an experiment from YAML. Throws `common::settings_error` with the source, the line and the
/// key of the first fault.
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
