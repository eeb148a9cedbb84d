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
    /// Consecutive failures after which an upstream is ejected.
    std::uint32_t consecutive_failures = 3;
    /// An upstream is ejected when its average service time exceeds the median of its pool by this
    /// factor.
    double slow_factor = 4;
    /// Samples needed before the average is compared with the median.
    std::uint64_t min_samples = 8;
    /// Duration of the first ejection; each consecutive one doubles it, up to the maximum.
    common::duration base_ejection_time = std::chrono::seconds{2};
    common::duration max_ejection_time = std::chrono::seconds{30};
    /// Maximum share of a pool that may be ejected at the same time.
    double max_ejected_share = 0.4;
    /// An upstream whose calls are recorded with their times is ejected when a smaller share of
    /// that time produces results.
    double min_goodput = 0.25;
    /// Call time over which the goodput is averaged.
    common::duration goodput_window = std::chrono::milliseconds{1500};
};

/// Whether an upstream receives work.
enum class rotation_state { in_rotation, ejected, probing };

/// Detects upstreams of one pool that fail or are much slower than the others and temporarily
/// ejects them from rotation. When the ejection time is over, one request is sent as a probe; its
/// result decides whether the upstream returns to rotation.
class outlier_detector {
public:
    explicit outlier_detector(const outlier_options& options = {}) : m_options{options} {}

    void add_member(const std::string& name);
    void remove_member(const std::string& name);

    /// Records a result and its service time at the upstream, without the time in the queue.
    void record_success(const std::string& name, common::duration service_time,
                        common::time_point now);

    /// Records a failure, or that no result had arrived when a hedge was sent.
    void record_failure(const std::string& name, common::time_point now);

    /// Records a call that occupied the upstream for a time, and whether it produced results. In
    /// place of `record_failure` where failures differ in cost: an upstream that refuses some calls
    /// at once still completes nearly as many others as it would without them.
    void record_call(const std::string& name, bool completed, common::duration time,
                     common::time_point now);

    /// Share of the upstream's recorded call time that produced results, recent calls weighing
    /// more. 1 if nothing is known.
    [[nodiscard]] double goodput(const std::string& name) const;

    /// Returns the state of the upstream. Changes it to `probing` when the ejection time is over.
    rotation_state state(const std::string& name, common::time_point now);

    /// Whether the upstream has been left without a probe for so long that any work should be one.
    [[nodiscard]] bool is_probe_overdue(const std::string& name, common::time_point now) const;

    /// Returns the state without updating it, for state dumps.
    [[nodiscard]] rotation_state last_state(const std::string& name) const;

    /// Records that work was sent to the upstream. While probing, the upstream gets no further work
    /// until the result arrives.
    void record_dispatch(const std::string& name, common::time_point now);

private:
    struct member {
        rotation_state state = rotation_state::in_rotation;
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        double average_service_s = 0;
        double goodput = 1;
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
