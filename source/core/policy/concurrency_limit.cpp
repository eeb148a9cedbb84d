#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace jujubemast::policy {

namespace {

// Weight of a new sample in the ratio; single slow calls do not lower the bound.
constexpr double ratio_gain = 0.1;

// A quiet phase ends after this many quiet calls, or when it takes this many service times.
constexpr std::uint32_t quiet_calls = 8;
constexpr int phase_service_times = 4;

// By how much a quiet phase goes below one by the tolerance.
constexpr double quiet_margin = 1.5;

// Time between quiet phases. A phase may cost two thirds of the capacity for about three service
// times, which is 2% of a hundred of them.
constexpr common::duration least_phase_distance = std::chrono::seconds{5};
constexpr int phase_distance_service_times = 100;

// At its maximum and with a service time near that without load there is nothing to learn.
constexpr double least_settled_ratio = 0.8;
constexpr double most_settled_ratio = 1.3;

} // namespace

limit_hooks make_fixed_limit(std::uint32_t limit) {
    return {[limit] { return limit; }, [](const call_sample& /*sample*/) {},
            [limit] { return limit; }};
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : m_options{options}, m_limit{static_cast<double>(
                              std::clamp(options.initial, 1U, std::max(1U, options.maximum)))} {}

std::uint32_t concurrency_limit::quiet() const {
    const double part = m_measured ? quiet_margin * m_options.tolerance : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(m_limit / part));
}

std::uint32_t concurrency_limit::current() const {
    return m_quiet_phase ? quiet() : static_cast<std::uint32_t>(m_limit);
}

void concurrency_limit::completed(const call_sample& sample) {
    if (m_quiet_phase) {
        count_quiet(sample);
    } else if (sample.unloaded > common::duration::zero()) {
        adapt(sample);
    }
}

void concurrency_limit::count_quiet(const call_sample& sample) {
    m_quiet_calls += sample.quiet ? 1U : 0U;
    // The first phase lasts until the service time is known at all.
    const bool late = m_phase_end && sample.now >= *m_phase_end;
    const bool known = sample.unloaded > common::duration::zero();
    if (!late && (m_quiet_calls < quiet_calls || !known)) {
        return;
    }
    m_measured = true;
    m_quiet_phase = false;
    m_next_phase =
        sample.now + std::max<common::duration>(least_phase_distance,
                                                sample.actual * phase_distance_service_times);
}

bool concurrency_limit::must_measure(const call_sample& sample) const {
    const bool settled = current() >= m_options.maximum && m_ratio > least_settled_ratio &&
                         m_ratio < most_settled_ratio;
    return sample.now >= m_next_phase && sample.in_progress >= current() && !settled;
}

void concurrency_limit::begin_quiet_phase(const call_sample& sample) {
    m_quiet_phase = true;
    m_quiet_calls = 0;
    m_phase_end = sample.now + sample.actual * phase_service_times;
}

void concurrency_limit::adapt(const call_sample& sample) {
    const double ratio = std::chrono::duration<double>(sample.actual).count() /
                         std::chrono::duration<double>(sample.unloaded).count();
    m_ratio += ratio_gain * (ratio - m_ratio);
    if (must_measure(sample)) {
        begin_quiet_phase(sample);
    } else if (m_ratio > m_options.tolerance) {
        reduce(sample);
    } else if (sample.in_progress >= current()) {
        // A bound that is not in use says nothing about a larger one.
        increase();
    }
}

void concurrency_limit::increase() {
    m_limit += m_slow_start ? 1.0 : 1.0 / m_limit;
    m_limit = std::min(m_limit, static_cast<double>(std::max(1U, m_options.maximum)));
}

void concurrency_limit::reduce(const call_sample& sample) {
    // Calls that began before a decrease still show the old bound.
    if (sample.now < m_next_decrease) {
        return;
    }
    m_slow_start = false;
    m_limit = std::max(1.0, m_limit * m_options.decrease);
    m_next_decrease = sample.now + sample.actual;
}

limit_hooks make_adaptive_limit(const concurrency_limit_options& options) {
    const auto limit = std::make_shared<concurrency_limit>(options);
    return {[limit] { return limit->current(); },
            [limit](const call_sample& sample) { limit->completed(sample); },
            [limit] { return limit->quiet(); }};
}

} // namespace jujubemast::policy
