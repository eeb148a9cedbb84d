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
    double memory = 0.98;
    /// Weight of observations above the prediction relative to those below. One learns the mean; a
    /// small value learns the lower edge, which is the service time of an upstream without load
    /// (expectile regression, Newey and Powell, "Asymmetric Least Squares Estimation and Testing",
    /// 1987).
    double weight_above = 1.0;
    /// Residuals beyond this many mean absolute residuals count as outliers.
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

    /// Returns the expected service time, or nothing while too little is known of the operation.
    [[nodiscard]] std::optional<common::duration> expect(const std::string& operation,
                                                         const work_size& size) const;

private:
    static constexpr std::size_t term_count = 3;
    using vector = std::array<double, term_count>;

    struct operation_state {
        std::array<vector, term_count> moments{};
        vector products{};
        vector factors{};
        /// Exponentially weighted mean of the bounded absolute residuals, in seconds.
        double deviation = 0.0;
        /// Smallest service time seen, in seconds; bounds what extrapolation may return.
        double least = 0.0;
        std::uint64_t count = 0;
    };

    static vector terms_of(const work_size& size);
    static double evaluate(const operation_state& state, const vector& terms);
    double weight_of(operation_state& state, double residual) const;
    static void solve(operation_state& state);

    cost_model_options m_options;
    std::unordered_map<std::string, operation_state> m_operations;
};

} // namespace jujubemast::policy
