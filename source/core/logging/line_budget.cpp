#include "logging/line_budget.h"

#include <algorithm>

namespace jujubemast::logging {

namespace {

// The share of one second's lines that stays unspent for the severities above, in the order of
// `severity`.
constexpr std::array<double, 4> reserved_share{0.6, 0.5, 0.1, 0.0};

constexpr common::duration report_interval = std::chrono::seconds{1};

} // namespace

line_budget::line_budget(double lines_per_second)
    : m_rate{lines_per_second}, m_balance{lines_per_second} {}

bool line_budget::take(severity of, common::time_point now) {
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_balance = std::min(m_rate, m_balance + std::max(0.0, passed.count()) * m_rate);
    m_refilled_at = now;
    if (m_balance - 1 < reserved_share.at(static_cast<std::size_t>(of)) * m_rate) {
        record_loss(of);
        return false;
    }
    m_balance -= 1;
    return true;
}

bool line_budget::report_due(common::time_point now) const {
    return now - m_reported_at >= report_interval &&
           std::any_of(m_left_out.begin(), m_left_out.end(),
                       [](std::uint64_t count) { return count > 0; });
}

left_out_counts line_budget::take_report(common::time_point now) {
    m_reported_at = now;
    const auto counts = m_left_out;
    m_left_out = {};
    return counts;
}

} // namespace jujubemast::logging
