#include <algorithm>
#include <utility>

#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"

// Requests that arrive just after the start of the process. It may not have read the configuration
// yet, and the entries of upstreams that expired while the store was away come back only some time
// after the store. Callers reach a gateway in that state if no other one is ready, for example
// after all were killed at once.

namespace jujubemast::gateway::requests {

namespace {

// A request waits for this share of its caller's time at most, so that another gateway can still
// serve it.
constexpr int max_hold_share = 3;
constexpr common::duration max_hold = std::chrono::seconds{1};
constexpr common::duration retry_after_hold = std::chrono::seconds{1};

common::duration hold_limit(std::optional<common::duration> deadline) {
    return deadline ? std::min<common::duration>(max_hold, *deadline / max_hold_share) : max_hold;
}

} // namespace

void forwarder::hold(exchange& ex) {
    m_held.push_back(ex.id);
    start_hold_timer(ex);
}

void forwarder::start_hold_timer(exchange& ex) {
    if (ex.deadline_timer) {
        return;
    }
    ex.deadline_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.deadline_timer->start(hold_limit(ex.request.deadline), m_context.wrap([this, id = ex.id] {
        if (auto* held = find(id)) {
            std::erase(m_held, id);
            refuse(*held, status_unavailable,
                   held->origin.search_began ? "the software version of the stream is not known yet"
                   : m_configuration         ? "no upstream is known yet"
                                             : "no configuration yet",
                   retry_after_hold);
        }
    }));
}

void forwarder::begin_held_requests() {
    for (const auto id : std::exchange(m_held, {})) {
        // The caller may have left.
        if (auto* ex = find(id)) {
            begin(*ex);
        }
    }
}

void forwarder::record_first_list(common::time_point now) {
    if (m_first_list) {
        return;
    }
    m_first_list = now;
    m_settling_timer.start(upstream_list::reregistration_time,
                           m_context.wrap([this] { begin_held_requests(); }));
}

bool forwarder::may_lack_instances(const exchange& ex) const {
    const auto now = common::monotonic_clock::now();
    if (!m_first_list || now - *m_first_list >= upstream_list::reregistration_time) {
        return false;
    }
    const auto is_missing = [this](const std::string& service) {
        return std::none_of(m_upstreams->begin(), m_upstreams->end(),
                            [&](const auto& it) { return it.second.service == service; });
    };
    const auto& stages = ex.matched_route->stages;
    return is_missing(ex.service) ||
           std::any_of(stages.begin(), stages.end(),
                       [&](const stage_spec& it) { return is_missing(it.service); });
}

} // namespace jujubemast::gateway::requests
