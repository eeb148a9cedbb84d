#include "policy/cost_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubemast::policy {

namespace {

// With fewer observations there is no estimate, so that no work is refused because of one.
constexpr std::uint64_t min_observations = 8;

// Sizes are scaled so that the squares of typical values are near one; the ridge penalty assumes
// this.
constexpr double bytes_per_unit = 1024.0;
constexpr double tokens_per_unit = 64.0;
constexpr double ridge = 1e-3;

} // namespace

cost_model::term_vector cost_model::terms_of(const work_size& size) {
    const auto uncached = size.input_bytes - std::min(size.input_bytes, size.cached_bytes);
    return {1.0, static_cast<double>(uncached) / bytes_per_unit,
            static_cast<double>(size.output_tokens) / tokens_per_unit};
}

double cost_model::predict(const operation_state& state, const term_vector& terms) {
    double sum = 0.0;
    for (std::size_t n = 0; n < term_count; ++n) {
        sum += state.coefficients[n] * terms[n];
    }
    // Extrapolation to small sizes must not fall far below the observed values.
    return std::max(sum, state.min_service_s / 2.0);
}

double cost_model::weigh_observation(operation_state& state, double residual) const {
    const double magnitude = std::abs(residual);
    const double bound = m_options.outlier_bound * state.mean_residual_s;
    // Only slow calls can be outliers: work may stall for many reasons, but it does not finish too
    // early.
    const bool outlier = state.count >= min_observations && residual > bound;
    const double weight = outlier ? bound / residual : 1.0;
    // Outliers raise the mean residual too, by a bounded amount, so that it follows a lasting
    // change of the service time within a few tens of observations.
    const double bounded =
        state.count < min_observations ? magnitude : std::min(magnitude, 2.0 * bound + 1e-6);
    state.mean_residual_s =
        m_options.decay * state.mean_residual_s + (1.0 - m_options.decay) * bounded;
    return weight;
}

void cost_model::observe(const std::string& operation, const work_size& size,
                         common::duration actual) {
    auto& state = m_operations[operation];
    const auto terms = terms_of(size);
    const double service_s = std::chrono::duration<double>(actual).count();
    if (state.count == 0) {
        state.mean_residual_s = service_s / 2.0;
        state.min_service_s = service_s;
    }
    const double weight = weigh_observation(state, service_s - predict(state, terms));
    for (std::size_t n = 0; n < term_count; ++n) {
        for (std::size_t m = 0; m < term_count; ++m) {
            state.moments[n][m] =
                m_options.decay * state.moments[n][m] + weight * terms[n] * terms[m];
        }
        state.value_moments[n] =
            m_options.decay * state.value_moments[n] + weight * terms[n] * service_s;
    }
    // The minimum rises slowly, so that a single very fast call does not determine it forever.
    state.min_service_s = std::min(service_s, state.min_service_s * 1.01);
    ++state.count;
    solve(state);
}

void cost_model::scale(const std::string& operation, double factor) {
    const auto it = m_operations.find(operation);
    if (it == m_operations.end()) {
        return;
    }
    auto& state = it->second;
    for (std::size_t n = 0; n < term_count; ++n) {
        state.value_moments[n] *= factor;
        state.coefficients[n] *= factor;
    }
    state.mean_residual_s *= factor;
    state.min_service_s *= factor;
}

void cost_model::solve(operation_state& state) {
    auto rows = state.moments;
    auto values = state.value_moments;
    // The ridge penalty pulls the slopes towards zero, in proportion to the total weight of the
    // observations.
    for (std::size_t n = 1; n < term_count; ++n) {
        rows[n][n] += ridge * state.moments[0][0] + 1e-9;
    }
    for (std::size_t n = 0; n < term_count; ++n) {
        for (std::size_t m = n + 1; m < term_count; ++m) {
            const double factor = rows[m][n] / rows[n][n];
            for (std::size_t k = n; k < term_count; ++k) {
                rows[m][k] -= factor * rows[n][k];
            }
            values[m] -= factor * values[n];
        }
    }
    for (std::size_t n = term_count; n-- > 0;) {
        for (std::size_t k = n + 1; k < term_count; ++k) {
            values[n] -= rows[n][k] * state.coefficients[k];
        }
        state.coefficients[n] = values[n] / rows[n][n];
    }
}

std::optional<common::duration> cost_model::estimate(const std::string& operation,
                                                     const work_size& size) const {
    const auto it = m_operations.find(operation);
    if (it == m_operations.end() || it->second.count < min_observations) {
        return std::nullopt;
    }
    const std::chrono::duration<double> value{predict(it->second, terms_of(size))};
    return std::chrono::duration_cast<common::duration>(value);
}

} // namespace jujubemast::policy
