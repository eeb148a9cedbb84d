#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::policy {

/// How the limit on the calls in progress at an upstream is determined.
enum class limit_kind { fixed, adaptive };

/// Measurements of one completed call.
struct call_sample {
    common::duration service_time;
    /// Expected service time of the same work at an upstream without load; zero when unknown.
    common::duration unloaded_service_time;
    /// Calls in progress when this one completed, itself included.
    std::uint32_t in_progress = 0;
    /// The call began with no more than `limit_hooks::low_load_limit` calls in progress.
    bool low_load = false;
    common::time_point now;
};

/// The limit on the calls in progress, as replaceable functions.
struct limit_hooks {
    std::function<std::uint32_t()> current;
    std::function<void(const call_sample&)> completed;
    /// With at most this many calls in progress, a service time counts as measured without load.
    std::function<std::uint32_t()> low_load_limit;
};

/// A constant limit, the baseline that the adaptive one is compared with.
limit_hooks make_fixed_limit(std::uint32_t limit);

struct concurrency_limit_options {
    std::uint32_t maximum = 8;
    std::uint32_t initial = 4;
    /// The limit is reduced when the service time exceeds that without load by this factor.
    double tolerance = 1.5;
    /// Factor applied to the limit when it is reduced.
    double decrease = 0.9;
};

/// Adapts the number of calls in progress to the upstream, between one and a maximum: additive
/// increase and multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
/// Algorithms for Congestion Avoidance in Computer Networks", 1989) on the service time relative to
/// the learned service time without load (as TCP Vegas does with round trips: Brakmo and Peterson,
/// 1995). Before the first decrease the limit doubles per service time (slow start).
///
/// Under sustained overload every call is slow. If the service time without load were learned from
/// such calls, the limit could grow without bound. Measurement phases therefore lower the limit to
/// a fraction for a few calls from time to time (as BBR does to measure the round-trip time:
/// Cardwell et al., "BBR: Congestion-Based Congestion Control", 2016). The fraction is smaller than
/// 1 / tolerance, so that for an upstream that serves n calls at a time the limit settles at no
/// more than n times the tolerance.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options);

    [[nodiscard]] std::uint32_t current() const;

    [[nodiscard]] std::uint32_t low_load_limit() const;

    void completed(const call_sample& sample);

private:
    void adapt(const call_sample& sample);
    void increase();
    void reduce(const call_sample& sample);
    [[nodiscard]] bool measurement_due(const call_sample& sample) const;
    void begin_measurement(const call_sample& sample);
    void update_measurement(const call_sample& sample);

    concurrency_limit_options m_options;
    double m_limit;
    /// Exponentially weighted ratio of actual to unloaded service time.
    double m_ratio = 1.0;
    bool m_slow_start = true;
    common::time_point m_next_decrease;
    /// Whether the first measurement phase is over. Until then the whole initial limit counts as
    /// low load.
    bool m_measured = false;
    bool m_measuring = true;
    std::uint32_t m_low_load_calls = 0;
    std::optional<common::time_point> m_measurement_deadline;
    common::time_point m_next_measurement;
};

limit_hooks make_adaptive_limit(const concurrency_limit_options& options);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::limit_kind> {
    static constexpr std::array<std::string_view, 2> table{"fixed", "adaptive"};
};

} // namespace jujubemast::common
