#include "load/arrival_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubemast::load {

namespace {

/// Maps the upper 53 bits to a number in (0, 1]. Zero is excluded because the logarithm is taken.
double to_unit_interval(std::uint64_t bits) {
    return (static_cast<double>(bits >> 11U) + 1.0) * 0x1.0p-53;
}

std::uint64_t draw(const common::random_hook& random, const number_range& range) {
    return range.low + common::uniform_below(random, range.high - range.low + 1);
}

} // namespace

std::string make_input(const std::string& traffic, std::uint64_t number, std::uint64_t bytes) {
    auto text = traffic + " request " + std::to_string(number) + " ";
    // The padding also depends on the number, so that different inputs have no long common prefix.
    while (text.size() < bytes) {
        text += "part " + std::to_string(number * 31 + text.size()) + " ";
    }
    return text;
}

arrival_schedule::arrival_schedule(const experiment& source)
    : m_experiment{source}, m_random{common::seeded_random(source.seed)} {
    for (const auto& it : source.traffic) {
        m_shares += it.share;
    }
    for (const auto& it : source.phases) {
        m_length += it.duration;
    }
    begin_phase();
}

std::optional<planned_request> arrival_schedule::next() {
    while (m_arrivals.empty()) {
        if (m_phase + 1 >= m_experiment.phases.size()) {
            return std::nullopt;
        }
        ++m_phase;
        begin_phase();
    }
    auto next = m_arrivals.top();
    m_arrivals.pop();
    auto result = make_request(next);
    if (--next.remaining > 0) {
        m_arrivals.push(next);
    } else {
        draw_burst(next.traffic);
    }
    return result;
}

void arrival_schedule::begin_phase() {
    m_phase_begin = m_phase_end;
    m_phase_end += m_experiment.phases[m_phase].duration;
    m_last_arrivals.assign(m_experiment.traffic.size(), m_phase_begin);
    for (std::size_t n = 0; n < m_experiment.traffic.size(); ++n) {
        draw_burst(n);
    }
}

double arrival_schedule::bursts_per_s(std::size_t traffic) const {
    const auto& phase = m_experiment.phases[m_phase];
    const auto& drawn = m_experiment.traffic[traffic];
    double rate = m_shares > 0.0 ? phase.rate_per_s * drawn.share / m_shares : 0.0;
    if (const auto extra = phase.extra_per_s.find(drawn.name); extra != phase.extra_per_s.end()) {
        rate += extra->second;
    }
    switch (phase.pattern) {
    case arrival_pattern::poisson:
        return rate;
    case arrival_pattern::burst:
        return rate / static_cast<double>(phase.burst_size);
    }
    return rate;
}

void arrival_schedule::draw_burst(std::size_t traffic) {
    const auto rate = bursts_per_s(traffic);
    if (rate <= 0.0 || m_last_arrivals[traffic] >= m_phase_end) {
        return;
    }
    m_last_arrivals[traffic] += exponential(rate);
    if (m_last_arrivals[traffic] >= m_phase_end) {
        return;
    }
    const auto& phase = m_experiment.phases[m_phase];
    const auto size = phase.pattern == arrival_pattern::burst ? phase.burst_size : 1;
    m_arrivals.push({m_last_arrivals[traffic], traffic, size});
}

common::duration arrival_schedule::exponential(double rate_per_s) const {
    const std::chrono::duration<double> value{-std::log(to_unit_interval(m_random())) / rate_per_s};
    return std::chrono::duration_cast<common::duration>(value);
}

const workspace_credential& arrival_schedule::draw_workspace(const traffic_class& traffic) const {
    double sum = 0.0;
    for (const auto& it : traffic.workspaces) {
        sum += it.weight;
    }
    auto rest = to_unit_interval(m_random()) * sum;
    const auto* chosen = &traffic.workspaces.back();
    for (const auto& it : traffic.workspaces) {
        rest -= it.weight;
        if (it.weight > 0.0 && rest <= 0.0) {
            chosen = &it;
            break;
        }
    }
    return m_experiment.workspaces.find(chosen->workspace)->second;
}

planned_request arrival_schedule::make_request(const arrival& next) {
    const auto& traffic = m_experiment.traffic[next.traffic];
    const auto& pipeline = m_experiment.pipelines.find(traffic.pipeline)->second;
    planned_request result;
    result.number = m_next_number++;
    result.phase = m_phase;
    result.send_time = next.time;
    result.traffic = &traffic;
    result.pipeline = &pipeline;
    result.workspace = &draw_workspace(traffic);
    result.priority = std::max(pipeline.priority, traffic.priority.value_or(pipeline.priority));
    const auto input = common::uniform_below(m_random, traffic.distinct_inputs);
    // Size and tokens are derived from the input's number, so that equal inputs give equal
    // requests.
    const auto input_random =
        common::seeded_random(m_experiment.seed ^ (input * 0x9E3779B97F4A7C15U));
    result.input = make_input(traffic.name, input, draw(input_random, traffic.input_bytes));
    result.max_tokens = draw(input_random, traffic.max_tokens);
    return result;
}

} // namespace jujubemast::load
