#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace jujubemast::policy {

namespace {

// Weight of a new sample in the ratio; single slow calls do not lower the bound.
constexpr double ratio_gain = 0.1;

} // namespace

limit_hooks make_fixed_limit(std::uint32_t limit) {
    return {[limit] { return limit; }, [](const call_sample& /*sample*/) {}};
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : m_options{options}, m_limit{static_cast<double>(
                              std::clamp(options.initial, 1U, std::max(1U, options.maximum)))} {}

std::uint32_t concurrency_limit::current() const {
    return static_cast<std::uint32_t>(m_limit);
}

void concurrency_limit::completed(const call_sample& sample) {
    if (sample.unloaded <= common::duration::zero()) {
        return;
    }
    const double ratio = std::chrono::duration<double>(sample.actual).count() /
                         std::chrono::duration<double>(sample.unloaded).count();
    m_ratio += ratio_gain * (ratio - m_ratio);
    if (m_ratio > m_options.tolerance) {
        reduce(sample);
        return;
    }
    // A bound that is not in use says nothing about a larger one.
    if (sample.in_progress >= current()) {
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
            [limit](const call_sample& sample) { limit->completed(sample); }};
}

} // namespace jujubemast::policy
