#include <algorithm>

#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"
#include "gateway/stop_schedule.h"

// Ends the requests of a gateway that stops, and admits new ones only if they can end in time.

namespace jujubemast::gateway::requests {

namespace {

// A stream in progress is cut this long before, so that its log line names the cause. The close of
// its connection would look like one by the caller.
constexpr common::duration stream_stop_margin = std::chrono::milliseconds{50};

} // namespace

void forwarder::handle(const shutdown_started& message) {
    m_stop_deadline = message.deadline;
    const auto left = message.deadline - common::monotonic_clock::now();
    m_log.info("Stop begins.", {{"limit_ms", std::to_string(common::to_milliseconds(left))},
                                {"in_progress", std::to_string(m_exchanges.size())}});
    for (auto& [id, it] : m_exchanges) {
        if (it->is_search_in_progress() ||
            std::find(m_held.begin(), m_held.end(), id) != m_held.end()) {
            // It has no deadline yet and is refused soon, or limited when it begins.
            continue;
        }
        limit_to_stop(*it);
        start_deadline_timer(*it);
    }
}

void forwarder::limit_to_stop(exchange& ex) const {
    if (!m_stop_deadline) {
        return;
    }
    ex.first_event_deadline = std::min(ex.first_event_deadline, *m_stop_deadline - stop_margin);
    const auto limit = ex.matched_route->kind == repeatability::stream
                           ? *m_stop_deadline - stream_stop_margin
                           : ex.first_event_deadline;
    if (limit < ex.response_deadline) {
        ex.limited_by_stop = true;
        ex.response_deadline = limit;
    }
}

bool forwarder::admit_in_stop(exchange& ex) {
    if (!ex.limited_by_stop) {
        return true;
    }
    const auto now = common::monotonic_clock::now();
    const auto stages = ex.matched_route->stages.empty()
                            ? common::duration::zero()
                            : m_estimator.expected_stages(staged(ex), now);
    return !refuse_if_cut_by_stop(ex, stages);
}

bool forwarder::refuse_if_cut_by_stop(exchange& ex, common::duration until_sent) {
    // A begun stream goes on at another upstream for as long as it can.
    if (!ex.limited_by_stop || ex.relaying) {
        return false;
    }
    const auto left = ex.response_deadline - common::monotonic_clock::now();
    if (can_end_before_stop(m_response_times, *ex.matched_route, until_sent, left)) {
        return false;
    }
    refuse(ex, status_unavailable, "may not end before this gateway stops");
    return true;
}

} // namespace jujubemast::gateway::requests
