#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "common/enum_names.h"

namespace jujubemast::metrics {

/// Kinds of metrics; the names are those of the Prometheus text format.
enum class metric_kind { counter, gauge, summary };

/// Label names and values that identify one series of a metric.
using labels = std::vector<std::pair<std::string, std::string>>;

/// A count that only increases.
class counter {
public:
    void add(std::uint64_t n = 1) { m_value += n; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

/// A value that can go up and down.
class gauge {
public:
    void set(double value) { m_value = value; }
    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value = 0.0;
};

/// Estimates quantiles of all observed values in constant memory with the extended P² algorithm
/// (Boost.Accumulators, `extended_p_square_quantile`).
class quantile_summary {
public:
    static constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

    quantile_summary();
    ~quantile_summary();
    quantile_summary(const quantile_summary&) = delete;
    quantile_summary& operator=(const quantile_summary&) = delete;

    void observe(double value);

    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sum() const { return m_sum; }
    /// Returns the estimate for the probability with this index; zero without values.
    [[nodiscard]] double quantile(std::size_t index) const;

private:
    struct estimator;
    std::unique_ptr<estimator> m_estimator;
    std::uint64_t m_count = 0;
    double m_sum = 0.0;
};

/// The metrics of one task; no other task accesses them. Returned references stay valid as long as
/// the registry, so that frequent events need no lookup.
class registry {
public:
    /// Each of these returns the series with these labels and creates it if necessary. Throws
    /// `common::error` when the name belongs to a metric of another kind.
    counter& add_counter(std::string_view name, std::string_view help,
                         const labels& label_set = {});
    gauge& add_gauge(std::string_view name, std::string_view help, const labels& label_set = {});
    quantile_summary& add_summary(std::string_view name, std::string_view help,
                                  const labels& label_set = {});

    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct family {
        metric_kind kind = metric_kind::counter;
        std::string help;
        /// Series by their formatted labels.
        std::map<std::string, std::variant<counter, gauge, quantile_summary>> series;
    };

    template <typename Metric>
    Metric& add(metric_kind kind, std::string_view name, std::string_view help,
                const labels& label_set);

    std::map<std::string, family, std::less<>> m_families;
};

} // namespace jujubemast::metrics

namespace jujubemast::common {

template <>
struct enum_names<metrics::metric_kind> {
    static constexpr std::array<std::string_view, 3> table{"counter", "gauge", "summary"};
};

} // namespace jujubemast::common
