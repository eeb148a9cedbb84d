#include "load/statistics.h"

#include <algorithm>
#include <cstdio>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <boost/json.hpp>

namespace jujubemast::load {

namespace {

namespace acc = boost::accumulators;
namespace json = boost::json;

constexpr std::size_t max_verification_errors = 10;

float milliseconds(common::duration value) {
    return static_cast<float>(common::to_milliseconds(value));
}

double ratio(double part, double whole) {
    return whole > 0.0 ? part / whole : 0.0;
}

json::object to_json(const quantiles& value) {
    return {{"count", value.count}, {"mean", value.mean}, {"p50", value.p50},
            {"p95", value.p95},     {"p99", value.p99},   {"max", value.max}};
}

json::object to_json(const group_statistics& group, double seconds) {
    json::object results;
    for (std::size_t n = 0; n < group.results.size(); ++n) {
        results[common::to_name(static_cast<request_result>(n))] = group.results[n];
    }
    json::object reasons;
    for (const auto& [reason, n] : group.reasons) {
        reasons[reason] = n;
    }
    const auto within = static_cast<double>(group.within_deadline);
    return {{"sent", group.sent},
            {"within_deadline", group.within_deadline},
            {"share_within_deadline", ratio(within, static_cast<double>(group.sent))},
            {"goodput_per_s", ratio(within, seconds)},
            {"results", std::move(results)},
            {"reasons", std::move(reasons)},
            {"latency_ms", to_json(quantiles_of(group.latency_ms))},
            {"first_token_ms", to_json(quantiles_of(group.first_token_ms))},
            {"token_gap_ms", to_json(quantiles_of(group.token_gap_ms))}};
}

double extra_work(const stage_statistics& stage) {
    return ratio(static_cast<double>(stage.attempts - stage.completed),
                 static_cast<double>(stage.completed));
}

json::object to_json(const stage_statistics& stage, double seconds) {
    return {{"completed", stage.completed},
            {"attempts", stage.attempts},
            {"extra_work", extra_work(stage)},
            {"useful_slots", ratio(stage.useful_ms / 1000.0, seconds)},
            {"queue_ms", to_json(quantiles_of(stage.queue_ms))},
            {"service_ms", to_json(quantiles_of(stage.service_ms))}};
}

template <typename... Values>
std::string format_line(const char* format, Values... values) {
    std::array<char, 256> text{};
    std::snprintf(text.data(), text.size(), format, values...);
    return text.data();
}

std::string group_line(const std::string& name, const group_statistics& group, double seconds) {
    const auto latency = quantiles_of(group.latency_ms);
    const auto first = quantiles_of(group.first_token_ms);
    const auto gap = quantiles_of(group.token_gap_ms);
    const auto n = [&](request_result it) {
        return static_cast<unsigned long long>(group.results.at(static_cast<std::size_t>(it)));
    };
    const auto within = static_cast<double>(group.within_deadline);
    return format_line(
        "  %-22s %7llu %7.2f%% %8.1f %7.0f %7.0f %7.0f %7.0f %6.0f %7llu %5llu %7llu %8llu "
        "%5llu\n",
        name.c_str(), static_cast<unsigned long long>(group.sent),
        100.0 * ratio(within, static_cast<double>(group.sent)), ratio(within, seconds), latency.p50,
        latency.p95, latency.p99, first.p95, gap.p95, n(request_result::not_run),
        n(request_result::ran), n(request_result::unknown), n(request_result::not_sent),
        n(request_result::wrong));
}

constexpr const char* group_header =
    "  group                     sent  in-time   good/s     p50     p95     p99 first95  gap95 "
    "not_run   ran unknown not_sent wrong\n";
constexpr const char* stage_header =
    "  stage                     done    extra  queue50 queue95  serv50  serv95  serv99  mean\n";

std::string stage_line(const std::string& name, const stage_statistics& stage) {
    const auto queue = quantiles_of(stage.queue_ms);
    const auto service = quantiles_of(stage.service_ms);
    return format_line("  %-22s %7llu %7.2f%% %8.1f %7.1f %7.1f %7.1f %7.1f %5.1f\n", name.c_str(),
                       static_cast<unsigned long long>(stage.completed), 100.0 * extra_work(stage),
                       queue.p50, queue.p95, service.p50, service.p95, service.p99, service.mean);
}

} // namespace

quantiles quantiles_of(const std::vector<float>& values) {
    if (values.empty()) {
        return {};
    }
    if (values.size() == 1) {
        // The tail quantile of Boost.Accumulators is NaN for a single value.
        const double value = values.front();
        return {1, value, value, value, value, value};
    }
    acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::tail_quantile<acc::right>>>
        set{acc::tag::tail<acc::right>::cache_size = values.size()};
    for (const auto it : values) {
        set(it);
    }
    const auto quantile_at = [&](double probability) {
        return acc::quantile(set, acc::quantile_probability = probability);
    };
    return {values.size(),     acc::mean(set),    quantile_at(0.5),
            quantile_at(0.95), quantile_at(0.99), *std::max_element(values.begin(), values.end())};
}

void group_statistics::add(const request_outcome& outcome) {
    ++sent;
    ++results.at(static_cast<std::size_t>(outcome.result));
    if (outcome.within_deadline()) {
        ++within_deadline;
    }
    if (!outcome.reason.empty()) {
        ++reasons[outcome.reason];
    }
    if (outcome.result != request_result::answered) {
        return;
    }
    latency_ms.push_back(milliseconds(outcome.latency));
    if (outcome.first_token > common::duration::zero()) {
        first_token_ms.push_back(milliseconds(outcome.first_token));
    }
    for (const auto it : outcome.token_gaps) {
        token_gap_ms.push_back(milliseconds(it));
    }
}

run_statistics::run_statistics(const experiment& source)
    : m_experiment{source}, m_phases(source.phases.size()) {}

void run_statistics::add(const request_outcome& outcome) {
    auto& phase = m_phases.at(outcome.phase);
    phase.all.add(outcome);
    phase.send_lag_ms.push_back(milliseconds(outcome.send_lag));
    phase.priorities[std::string{common::to_name(outcome.priority)}].add(outcome);
    phase.workspaces[outcome.workspace].add(outcome);
    phase.traffic[outcome.traffic].add(outcome);
    for (const auto& it : outcome.stages) {
        auto& stage = phase.stages[it.name];
        ++stage.completed;
        stage.attempts += std::max<std::uint32_t>(1, it.attempts);
        stage.queue_ms.push_back(milliseconds(it.queue));
        stage.service_ms.push_back(milliseconds(it.service));
        if (outcome.within_deadline()) {
            stage.useful_ms += common::to_milliseconds(it.service);
        }
    }
}

void run_statistics::add_verification_error(const std::string& error) {
    ++m_wrong_responses;
    if (m_verification_errors.size() < max_verification_errors) {
        m_verification_errors.push_back(error);
    }
}

json::object run_statistics::to_json() const {
    json::array phases;
    for (std::size_t n = 0; n < m_phases.size(); ++n) {
        if (m_experiment.phases[n].measured) {
            phases.push_back(phase_to_json(n));
        }
    }
    json::array verification_errors;
    for (const auto& it : m_verification_errors) {
        verification_errors.push_back(json::string{it});
    }
    return {{"seed", m_experiment.seed},
            {"capacity_per_s", m_experiment.capacity_per_s},
            {"wrong_answers", m_wrong_responses},
            {"complaints", std::move(verification_errors)},
            {"phases", std::move(phases)}};
}

json::object run_statistics::phase_to_json(std::size_t phase) const {
    const auto& definition = m_experiment.phases[phase];
    const auto& collected = m_phases[phase];
    const auto seconds = std::chrono::duration<double>(definition.duration).count();
    const auto groups = [seconds](const std::map<std::string, group_statistics>& source) {
        json::object result;
        for (const auto& [name, group] : source) {
            result[name] = load::to_json(group, seconds);
        }
        return result;
    };
    json::object stages;
    for (const auto& [name, stage] : collected.stages) {
        stages[name] = load::to_json(stage, seconds);
    }
    return {{"name", definition.name},
            {"duration_ms", definition.duration.count()},
            {"send_lag_ms", load::to_json(quantiles_of(collected.send_lag_ms))},
            {"all", load::to_json(collected.all, seconds)},
            {"priorities", groups(collected.priorities)},
            {"workspaces", groups(collected.workspaces)},
            {"traffic", groups(collected.traffic)},
            {"stages", std::move(stages)}};
}

std::string run_statistics::to_table() const {
    std::string text;
    for (std::size_t n = 0; n < m_phases.size(); ++n) {
        if (m_experiment.phases[n].measured) {
            text += phase_to_table(n);
        }
    }
    text +=
        format_line("wrong answers: %llu\n", static_cast<unsigned long long>(m_wrong_responses));
    for (const auto& it : m_verification_errors) {
        text += "  " + it + "\n";
    }
    return text;
}

std::string run_statistics::phase_to_table(std::size_t phase) const {
    const auto& definition = m_experiment.phases[phase];
    const auto& collected = m_phases[phase];
    const auto seconds = std::chrono::duration<double>(definition.duration).count();
    auto text =
        format_line("phase %s, %.1f s; times in ms; client late by %.1f (p99)\n",
                    definition.name.c_str(), seconds, quantiles_of(collected.send_lag_ms).p99);
    text += group_header;
    text += group_line("all", collected.all, seconds);
    const auto add_groups = [&](const char* prefix,
                                const std::map<std::string, group_statistics>& it) {
        for (const auto& [name, group] : it) {
            text += group_line(prefix + name, group, seconds);
        }
    };
    add_groups("priority ", collected.priorities);
    add_groups("traffic ", collected.traffic);
    add_groups("", collected.workspaces);
    text += stage_header;
    for (const auto& [name, stage] : collected.stages) {
        text += stage_line(name, stage);
    }
    for (const auto& [reason, n] : collected.all.reasons) {
        text += "  reason " + reason + ": " + std::to_string(n) + "\n";
    }
    return text;
}

} // namespace jujubemast::load
