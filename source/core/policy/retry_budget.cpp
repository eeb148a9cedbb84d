#include "policy/retry_budget.h"

#include <algorithm>

namespace jujubemast::policy {

void retry_budget::set_options(const retry_budget_options& options) {
    m_options = options;
    m_balance = std::min(m_balance, m_options.max_balance);
}

void retry_budget::record_first_attempt() {
    m_balance = std::min(m_options.max_balance, m_balance + m_options.ratio);
}

bool retry_budget::has_token(common::time_point now) {
    refill(now);
    return m_balance >= 1;
}

bool retry_budget::try_acquire(common::time_point now) {
    if (!has_token(now)) {
        return false;
    }
    m_balance -= 1;
    return true;
}

void retry_budget::refill(common::time_point now) {
    const std::chrono::duration<double> elapsed = now - m_refilled;
    m_refilled = now;
    if (m_balance < m_options.reserve) {
        const double earned =
            m_options.reserve * (elapsed / std::chrono::duration<double>(m_options.reserve_period));
        m_balance = std::min(m_options.reserve, m_balance + earned);
    }
}

common::duration retry_backoff(common::duration base, unsigned attempts, double random_unit) {
    constexpr unsigned max_exponent = 6;
    const auto factor = static_cast<double>(1U << std::min(attempts, max_exponent));
    return std::chrono::duration_cast<common::duration>(base * factor * (0.5 + random_unit / 2));
}

} // namespace jujubemast::policy
