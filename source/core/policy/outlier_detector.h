#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::policy {

struct outlier_options {
    /// Failures in a row that eject an upstream.
    std::uint32_t consecutive_failures = 3;
    /// An upstream whose average service time is this many times the median of its pool is ejected.
    double slow_factor = 4;
    /// Samples that the average needs before it counts.
    std::uint64_t min_samples = 8;
    /// First ejection; each further one in a row lasts twice as long, up to the longest.
    common::duration base_ejection_time = std::chrono::seconds{2};
    common::duration max_ejection_time = std::chrono::seconds{30};
    /// Share of a pool that may be ejected at the same time.
    double max_ejected_share = 0.4;
};

/// Whether an upstream takes part in routing.
enum class rotation_state { in_rotation, ejected, probing };

/// Finds upstreams of one pool that fail or are much slower than the others, and takes them out of
/// rotation for a while. After the ejection one request is let through as a probe; its result
/// decides about the return.
class outlier_detector {
public:
    explicit outlier_detector(const outlier_options& options = {}) : m_options{options} {}

    void add_member(const std::string& name);
    void remove_member(const std::string& name);

    /// Records a result with the upstream's own service time, without the wait in its queue.
    void record_success(const std::string& name, common::duration service_time,
                        common::time_point now);

    /// Records a failure, or a result that had not come when a hedge was sent.
    void record_failure(const std::string& name, common::time_point now);

    /// Returns the state of the upstream. An ejection that is over turns into probing.
    rotation_state state(const std::string& name, common::time_point now);

    /// Returns the state as of the last decision, for state dumps.
    [[nodiscard]] rotation_state last_state(const std::string& name) const;

    /// Records that the upstream got work; a probing one is closed for others until the result.
    void record_dispatch(const std::string& name, common::time_point now);

private:
    struct member {
        rotation_state state = rotation_state::in_rotation;
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        double average_service_s = 0;
        std::uint64_t samples = 0;
        common::time_point ejected_until;
        bool probe_sent = false;
    };

    void eject(member& target, common::time_point now);
    [[nodiscard]] bool may_eject() const;
    [[nodiscard]] double median_service_s() const;

    outlier_options m_options;
    std::map<std::string, member> m_members;
};

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::rotation_state> {
    static constexpr std::array<std::string_view, 3> table{"in_rotation", "ejected", "probing"};
};

} // namespace jujubemast::common
