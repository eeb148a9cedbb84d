#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/time.h"

namespace jujubemast::policy {

/// What is known of the size of work before it runs.
struct work_size {
    std::uint64_t input_bytes = 0;
    /// Part of the input that the upstream is expected to hold in its prefix cache.
    std::uint64_t cached_bytes = 0;
    /// Most tokens that may be generated; zero for operations that generate none.
    std::uint64_t output_tokens = 0;
};

struct cost_model_options {
    /// Weight that an observation keeps after the next one. 0.98 averages over about 50.
    double decay = 0.98;
    /// Observations this many mean absolute residuals above the expectation count as outliers.
    double outlier_bound = 3.0;
};

/// Expected service time by operation, learned from completed work: a constant part, a part by
/// uncached input and a part by output tokens. Least squares over exponentially weighted moments
/// with a small ridge on the slopes, so that inputs of one size give their mean. Outliers have
/// bounded influence (Huber, "Robust Estimation of a Location Parameter", 1964).
class cost_model {
public:
    explicit cost_model(cost_model_options options = {}) : m_options{options} {}

    /// Learns from completed work.
    void observe(const std::string& operation, const work_size& size, common::duration actual);

    /// Scales what is known of the operation, after a sign that it has become faster as a whole.
    void scale(const std::string& operation, double factor);

    /// Returns the expected service time, or nothing while too little is known of the operation.
    [[nodiscard]] std::optional<common::duration> estimate(const std::string& operation,
                                                           const work_size& size) const;

private:
    static constexpr std::size_t term_count = 3;
    using term_vector = std::array<double, term_count>;

    struct operation_state {
        std::array<term_vector, term_count> moments{};
        term_vector value_moments{};
        term_vector coefficients{};
        /// Exponentially weighted mean of the bounded absolute residuals, in seconds.
        double mean_residual_s = 0.0;
        /// Smallest service time seen, in seconds; bounds what extrapolation may return.
        double min_service_s = 0.0;
        std::uint64_t count = 0;
    };

    static term_vector terms_of(const work_size& size);
    static double predict(const operation_state& state, const term_vector& terms);
    double weight_of(operation_state& state, double residual) const;
    static void solve(operation_state& state);

    cost_model_options m_options;
    std::unordered_map<std::string, operation_state> m_operations;
};

} // namespace jujubemast::policy
