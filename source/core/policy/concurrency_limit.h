#pragma once

#include <cstdint>
#include <functional>

#include "common/enum_names.h"
#include "common/time.h"

namespace jujubemast::policy {

/// How the number of calls in progress at an upstream is bounded.
enum class limit_kind { fixed, adaptive };

/// What a completed call tells about the upstream.
struct call_sample {
    common::duration actual;
    /// Service time of the same work at an upstream without load; zero when unknown.
    common::duration unloaded;
    /// Calls in progress when this one completed, itself included.
    std::uint32_t in_progress = 0;
    common::time_point now;
};

/// The bound on the calls in progress, as replaceable functions.
struct limit_hooks {
    std::function<std::uint32_t()> current;
    std::function<void(const call_sample&)> completed;
};

/// Baseline: always the same bound.
limit_hooks make_fixed_limit(std::uint32_t limit);

struct concurrency_limit_options {
    std::uint32_t maximum = 8;
    std::uint32_t initial = 4;
    /// The bound falls when service takes this many times as long as without load.
    double tolerance = 2.0;
    /// What is left of the bound after it falls.
    double decrease = 0.9;
};

/// Adapts the number of calls in progress to the upstream, between one and a maximum: additive
/// increase and multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
/// Algorithms for Congestion Avoidance in Computer Networks", 1989) on the service time relative to
/// the learned service time without load (as TCP Vegas does with round trips: Brakmo and Peterson,
/// 1995). Before the first decrease the bound doubles per service time (slow start).
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options);

    [[nodiscard]] std::uint32_t current() const;

    void completed(const call_sample& sample);

private:
    void increase();
    void reduce(const call_sample& sample);

    concurrency_limit_options m_options;
    double m_limit;
    /// Exponentially weighted ratio of actual to unloaded service time.
    double m_ratio = 1.0;
    bool m_slow_start = true;
    common::time_point m_next_decrease;
};

limit_hooks make_adaptive_limit(const concurrency_limit_options& options);

} // namespace jujubemast::policy

namespace jujubemast::common {

template <>
struct enum_names<policy::limit_kind> {
    static constexpr std::array<std::string_view, 2> table{"fixed", "adaptive"};
};

} // namespace jujubemast::common
