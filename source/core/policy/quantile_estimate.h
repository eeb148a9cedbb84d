#pragma once

#include <cstdint>

namespace jujubemast::policy {

/// Running estimate of a quantile q in constant memory (Robbins-Monro stochastic approximation):
/// each sample moves the estimate up by q steps or down by 1 - q steps. The step is a fraction of
/// the estimate, so it works at any scale and follows changes of the distribution.
class quantile_estimate {
public:
    explicit quantile_estimate(double quantile) : m_quantile{quantile} {}

    void add(double sample);

    /// Returns the estimate; zero before the first sample.
    [[nodiscard]] double value() const { return m_value; }
    [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
    double m_quantile;
    double m_value = 0;
    std::uint64_t m_count = 0;
};

} // namespace jujubemast::policy
