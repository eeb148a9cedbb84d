#include "gateway/store/outage_detector.h"

#include <algorithm>
#include <utility>

namespace jujubemast::gateway::store {

bool outage_detector::record_failure(common::time_point sent) {
    return !std::exchange(m_failed_since, m_failed_since.value_or(sent));
}

std::optional<common::duration> outage_detector::record_available(common::time_point at,
                                                                  common::time_point now) {
    const auto before = m_available_at.value_or(at);
    m_available_at = std::max(before, at);
    // A sign from before the call that failed does not end the outage.
    if (!m_failed_since || at < *m_failed_since) {
        return std::nullopt;
    }
    m_failed_since.reset();
    return now - before;
}

} // namespace jujubemast::gateway::store
