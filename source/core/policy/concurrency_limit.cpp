#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace jujubemast::policy {

namespace {

// Weight of a new sample in the smoothed ratio; small, so that a single slow call does not lower
// the limit.
constexpr double ratio_gain = 0.1;

// A measurement phase ends after this many calls at low load, or after this many service times.
constexpr std::uint32_t measurement_calls = 8;
constexpr int max_measurement_service_times = 4;

// During a measurement phase the limit is divided by the tolerance times this margin.
constexpr double low_load_margin = 1.5;

// Time between measurement phases. A phase may cost two thirds of the capacity for about three
// service times, which is 2% of the capacity over 100 service times.
constexpr common::duration min_measurement_interval = std::chrono::seconds{5};
constexpr int measurement_interval_service_times = 100;

// No measurement is needed while the limit is at its maximum and the ratio of actual to unloaded
// service time lies between these bounds.
constexpr double min_settled_ratio = 0.8;
constexpr double max_settled_ratio = 1.3;

} // namespace

limit_hooks make_fixed_limit(std::uint32_t limit) {
    return {[limit] { return limit; }, [](const call_sample& /*sample*/) {},
            [limit] { return limit; }};
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : m_options{options}, m_limit{static_cast<double>(
                              std::clamp(options.initial, 1U, std::max(1U, options.maximum)))} {}

std::uint32_t concurrency_limit::low_load_limit() const {
    const double divisor = m_measured ? low_load_margin * m_options.tolerance : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(m_limit / divisor));
}

std::uint32_t concurrency_limit::current() const {
    return m_measuring ? low_load_limit() : static_cast<std::uint32_t>(m_limit);
}

void concurrency_limit::completed(const call_sample& sample) {
    if (m_measuring) {
        update_measurement(sample);
    } else if (sample.unloaded_service_time > common::duration::zero()) {
        adapt(sample);
    }
}

void concurrency_limit::update_measurement(const call_sample& sample) {
    m_low_load_calls += sample.low_load ? 1U : 0U;
    // The first phase has no deadline: it lasts until a service time without load is known.
    const bool timed_out = m_measurement_deadline && sample.now >= *m_measurement_deadline;
    const bool service_time_known = sample.unloaded_service_time > common::duration::zero();
    if (!timed_out && (m_low_load_calls < measurement_calls || !service_time_known)) {
        return;
    }
    m_measured = true;
    m_measuring = false;
    m_next_measurement = sample.now + std::max<common::duration>(
                                          min_measurement_interval,
                                          sample.service_time * measurement_interval_service_times);
}

bool concurrency_limit::measurement_due(const call_sample& sample) const {
    const bool settled = current() >= m_options.maximum && m_ratio > min_settled_ratio &&
                         m_ratio < max_settled_ratio;
    return sample.now >= m_next_measurement && sample.in_progress >= current() && !settled;
}

void concurrency_limit::begin_measurement(const call_sample& sample) {
    m_measuring = true;
    m_low_load_calls = 0;
    m_measurement_deadline = sample.now + sample.service_time * max_measurement_service_times;
}

void concurrency_limit::adapt(const call_sample& sample) {
    const double ratio = std::chrono::duration<double>(sample.service_time).count() /
                         std::chrono::duration<double>(sample.unloaded_service_time).count();
    m_ratio += ratio_gain * (ratio - m_ratio);
    if (measurement_due(sample)) {
        begin_measurement(sample);
    } else if (m_ratio > m_options.tolerance) {
        reduce(sample);
    } else if (sample.in_progress >= current()) {
        // While the limit is not reached, the samples do not show whether a higher one is safe.
        increase();
    }
}

void concurrency_limit::increase() {
    m_limit += m_slow_start ? 1.0 : 1.0 / m_limit;
    m_limit = std::min(m_limit, static_cast<double>(std::max(1U, m_options.maximum)));
}

void concurrency_limit::reduce(const call_sample& sample) {
    // Calls that began before the last decrease were still slowed down by the higher limit.
    if (sample.now < m_next_decrease) {
        return;
    }
    m_slow_start = false;
    m_limit = std::max(1.0, m_limit * m_options.decrease);
    m_next_decrease = sample.now + sample.service_time;
}

limit_hooks make_adaptive_limit(const concurrency_limit_options& options) {
    const auto limit = std::make_shared<concurrency_limit>(options);
    return {[limit] { return limit->current(); },
            [limit](const call_sample& sample) { limit->completed(sample); },
            [limit] { return limit->low_load_limit(); }};
}

} // namespace jujubemast::policy
