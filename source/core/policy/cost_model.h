#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/time.h"

namespace jujubemast::policy {

/// Size of a request, as known before it runs.
struct work_size {
    std::uint64_t input_bytes = 0;
    /// Bytes of the input that the upstream is expected to have in its prefix cache.
    std::uint64_t cached_bytes = 0;
    /// Maximum number of generated tokens; zero for operations that generate none.
    std::uint64_t output_tokens = 0;
};

struct cost_model_options {
    /// Factor on the weight of all earlier observations at each new one. 0.98 averages over about
    /// the last 50.
    double decay = 0.98;
    /// Observations that exceed the estimate by this many mean absolute residuals are outliers.
    double outlier_bound = 3.0;
};

/// Estimates the service time of each operation by a linear model learned from completed work: a
/// constant, a term for uncached input bytes and a term for output tokens. The fit is least squares
/// over exponentially weighted moments, with a small ridge penalty on the slopes so that inputs of
/// a single size yield their mean. The influence of outliers is bounded (Huber, "Robust Estimation
/// of a Location Parameter", 1964).
class cost_model {
public:
    explicit cost_model(cost_model_options options = {}) : m_options{options} {}

    /// Adds the service time of completed work to the fit.
    void observe(const std::string& operation, const work_size& size, common::duration actual);

    /// Scales all estimates of the operation, for example after a probe has shown that the upstream
    /// has become faster.
    void scale(const std::string& operation, double factor);

    /// Returns the expected service time, or nothing while the operation has too few observations.
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
        /// Smallest observed service time in seconds, slowly rising; half of it is the lower bound
        /// of all estimates.
        double min_service_s = 0.0;
        std::uint64_t count = 0;
    };

    static term_vector terms_of(const work_size& size);
    static double predict(const operation_state& state, const term_vector& terms);
    double weigh_observation(operation_state& state, double residual) const;
    static void solve(operation_state& state);

    cost_model_options m_options;
    std::unordered_map<std::string, operation_state> m_operations;
};

} // namespace jujubemast::policy
