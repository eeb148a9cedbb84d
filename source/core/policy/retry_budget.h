#pragma once

#include "common/time.h"

namespace jujubemast::policy {

struct retry_budget_options {
    /// Extra attempts allowed for each first attempt.
    double ratio = 0.1;
    /// Extra attempts that are always allowed again after a quiet period, so that rare traffic can
    /// be retried at all.
    double reserve = 3;
    /// Bounds the burst of extra attempts after a long time without any.
    double max_balance = 100;
    /// Time in which an empty budget earns its reserve again.
    common::duration reserve_period = std::chrono::seconds{10};
};

/// Bounds the extra work of retries and hedges to a share of the first attempts, so that a failing
/// pool does not get more load the more it fails. One budget serves one pool.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options = {})
        : m_options{options}, m_balance{options.reserve} {}

    /// Changes the options; what has been earned is kept up to the largest balance.
    void set_options(const retry_budget_options& options);

    /// Records a first attempt.
    void record_first_attempt();

    /// Takes one extra attempt from the budget. Returns false when it is used up.
    bool try_acquire(common::time_point now);

    [[nodiscard]] double balance() const { return m_balance; }

private:
    void refill(common::time_point now);

    retry_budget_options m_options;
    double m_balance;
    common::time_point m_refilled;
};

/// Returns the wait before an extra attempt: the base doubled with each attempt, times a random
/// factor between 0.5 and 1 ("equal jitter").
common::duration retry_backoff(common::duration base, unsigned attempts, double random_unit);

} // namespace jujubemast::policy
