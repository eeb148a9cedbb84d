#pragma once

#include "common/time.h"

namespace jujubemast::policy {

struct retry_budget_options {
    /// Extra attempts that each first attempt adds to the budget.
    double ratio = 0.1;
    /// Extra attempts that become available over time regardless of traffic, so that requests can
    /// also be retried when there are few of them.
    double reserve = 3;
    /// Maximum balance, which limits the burst of extra attempts after a long time without any.
    double max_balance = 100;
    /// Time in which an empty budget refills to its reserve.
    common::duration reserve_period = std::chrono::seconds{10};
};

/// Limits retries or hedges to a share of the first attempts, so that failures of a pool do not
/// multiply its load. Each pool has its own budgets.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options = {})
        : m_options{options}, m_balance{options.reserve} {}

    /// Changes the options; keeps the balance up to the new maximum.
    void set_options(const retry_budget_options& options);

    /// Records a first attempt, which adds `ratio` to the balance.
    void record_first_attempt();

    /// Takes one extra attempt from the budget. Returns false when the budget is exhausted.
    bool try_acquire(common::time_point now);

    /// Whether an extra attempt could be taken now.
    [[nodiscard]] bool has_token(common::time_point now);

    [[nodiscard]] double balance() const { return m_balance; }

private:
    void refill(common::time_point now);

    retry_budget_options m_options;
    double m_balance;
    common::time_point m_refilled;
};

/// Returns the wait before an extra attempt: exponential backoff from `base` times a random factor
/// between 0.5 and 1 ("equal jitter"). `random_unit` is a random number between 0 and 1.
common::duration retry_backoff(common::duration base, unsigned attempts, double random_unit);

} // namespace jujubemast::policy
