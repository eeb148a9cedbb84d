#include "metrics/registry.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
// The quantile header of Boost.Accumulators uses it without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "common/error.h"

namespace jujubemast::metrics {

namespace {

namespace acc = boost::accumulators;

using quantile_set = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile>>;

/// Escapes the backslashes, quotes and line breaks of a label value.
std::string escape_label_value(std::string_view value) {
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? std::string{"\\n"} : std::string{c};
    }
    return text;
}

std::string label_text(const labels& label_set) {
    std::string text;
    for (const auto& [name, value] : label_set) {
        text += (text.empty() ? "" : ",") + name + "=\"" + escape_label_value(value) + "\"";
    }
    return text;
}

std::string format_number(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

std::string format_sample(const std::string& name, const std::string& label,
                          const std::string& value) {
    return name + (label.empty() ? "" : "{" + label + "}") + " " + value + "\n";
}

std::string format_samples(const std::string& name, const std::string& label, const counter& it) {
    return format_sample(name, label, std::to_string(it.value()));
}

std::string format_samples(const std::string& name, const std::string& label, const gauge& it) {
    return format_sample(name, label, format_number(it.value()));
}

std::string format_samples(const std::string& name, const std::string& label,
                           const quantile_summary& it) {
    std::string text;
    for (std::size_t n = 0; n < quantile_summary::probabilities.size(); ++n) {
        const auto quantile =
            "quantile=\"" + format_number(quantile_summary::probabilities.at(n)) + "\"";
        auto full_label = label.empty() ? label : label + ",";
        full_label += quantile;
        text += format_sample(name, full_label, format_number(it.quantile(n)));
    }
    return text + format_sample(name + "_sum", label, format_number(it.sum())) +
           format_sample(name + "_count", label, std::to_string(it.count()));
}

} // namespace

struct quantile_summary::estimator {
    // The algorithm uses two markers per probability and three more. Its result is undefined for
    // fewer values than markers, so the first values are kept and give exact quantiles.
    static constexpr std::size_t exact_value_count = 2 * probabilities.size() + 3;

    quantile_set set{acc::extended_p_square_probabilities = probabilities};
    std::vector<double> initial_values;
};

quantile_summary::quantile_summary() : m_estimator{std::make_unique<estimator>()} {}

quantile_summary::~quantile_summary() = default;

void quantile_summary::observe(double value) {
    m_estimator->set(value);
    auto& initial_values = m_estimator->initial_values;
    if (initial_values.size() < estimator::exact_value_count) {
        initial_values.insert(std::upper_bound(initial_values.begin(), initial_values.end(), value),
                              value);
    }
    ++m_count;
    m_sum += value;
}

double quantile_summary::quantile(std::size_t index) const {
    const auto probability = probabilities.at(index);
    const auto& initial_values = m_estimator->initial_values;
    if (m_count == 0) {
        return 0.0;
    }
    if (m_count <= initial_values.size()) {
        const auto rank = std::ceil(probability * static_cast<double>(initial_values.size()));
        return initial_values[static_cast<std::size_t>(rank) - 1];
    }
    return acc::quantile(m_estimator->set, acc::quantile_probability = probability);
}

template <typename Metric>
Metric& registry::add(metric_kind kind, std::string_view name, std::string_view help,
                      const labels& label_set) {
    auto position = m_families.find(name);
    if (position == m_families.end()) {
        position = m_families.emplace(std::string{name}, family{kind, std::string{help}, {}}).first;
    }
    auto& found = position->second;
    if (found.kind != kind) {
        throw common::error{"metric " + std::string{name} + " is already registered as a " +
                            std::string{common::to_name(found.kind)}};
    }
    const auto it =
        found.series.try_emplace(label_text(label_set), std::in_place_type<Metric>).first;
    return std::get<Metric>(it->second);
}

counter& registry::add_counter(std::string_view name, std::string_view help,
                               const labels& label_set) {
    return add<counter>(metric_kind::counter, name, help, label_set);
}

gauge& registry::add_gauge(std::string_view name, std::string_view help, const labels& label_set) {
    return add<gauge>(metric_kind::gauge, name, help, label_set);
}

quantile_summary& registry::add_summary(std::string_view name, std::string_view help,
                                        const labels& label_set) {
    return add<quantile_summary>(metric_kind::summary, name, help, label_set);
}

std::string registry::text() const {
    std::string text;
    for (const auto& [name, metric] : m_families) {
        text += "# HELP " + name + " " + metric.help + "\n";
        text += "# TYPE " + name + " " + std::string{common::to_name(metric.kind)} + "\n";
        for (const auto& [label, series] : metric.series) {
            text += std::visit(
                [&, series_name = std::cref(name), series_label = std::cref(label)](
                    const auto& it) { return format_samples(series_name, series_label, it); },
                series);
        }
    }
    return text;
}

} // namespace jujubemast::metrics
