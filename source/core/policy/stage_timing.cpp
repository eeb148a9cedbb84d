#include "policy/stage_timing.h"

#include <algorithm>

namespace jujubemast::policy {

namespace {

double seconds(common::duration time) {
    return std::chrono::duration<double>(time).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
}

} // namespace

void stage_timing::record_response(const std::string& pipeline, std::size_t stage,
                                   common::duration time) {
    m_stages[{pipeline, stage}].response_s.add(seconds(time));
}

void stage_timing::record_service(const std::string& pipeline, std::size_t stage,
                                  common::duration time) {
    m_stages[{pipeline, stage}].service_s.add(seconds(time));
}

std::optional<common::duration> stage_timing::hedge_delay(const std::string& pipeline,
                                                          std::size_t stage) const {
    const auto* record = find(pipeline, stage);
    if (record == nullptr || record->response_s.count() < m_options.min_hedge_samples) {
        return std::nullopt;
    }
    return std::max(from_seconds(record->response_s.value() * m_options.hedge_factor),
                    m_options.min_hedge_delay);
}

common::duration stage_timing::expected_service(const std::string& pipeline,
                                                std::size_t stage) const {
    const auto* record = find(pipeline, stage);
    return record == nullptr ? common::duration::zero() : from_seconds(record->service_s.value());
}

const stage_timing::stage_record* stage_timing::find(const std::string& pipeline,
                                                     std::size_t stage) const {
    const auto it = m_stages.find({pipeline, stage});
    return it == m_stages.end() ? nullptr : &it->second;
}

} // namespace jujubemast::policy
