#include "logging/line_rate_limiter.h"

#include <algorithm>

namespace jujubemast::logging {

namespace {

// Share of one second's lines that each severity leaves for the higher ones, indexed by `severity`.
constexpr std::array<double, 4> reserved_share{0.6, 0.5, 0.1, 0.0};

constexpr common::duration report_interval = std::chrono::seconds{1};

} // namespace

line_rate_limiter::line_rate_limiter(double lines_per_second)
    : m_rate{lines_per_second}, m_tokens{lines_per_second} {}

bool line_rate_limiter::try_acquire(severity level, common::time_point now) {
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_tokens = std::min(m_rate, m_tokens + std::max(0.0, passed.count()) * m_rate);
    m_refilled_at = now;
    if (m_tokens - 1 < reserved_share.at(static_cast<std::size_t>(level)) * m_rate) {
        record_dropped(level);
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool line_rate_limiter::report_due(common::time_point now) const {
    return now - m_reported_at >= report_interval &&
           std::any_of(m_dropped.begin(), m_dropped.end(),
                       [](std::uint64_t count) { return count > 0; });
}

dropped_line_counts line_rate_limiter::take_report(common::time_point now) {
    m_reported_at = now;
    const auto counts = m_dropped;
    m_dropped = {};
    return counts;
}

} // namespace jujubemast::logging
