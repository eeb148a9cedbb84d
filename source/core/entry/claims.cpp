#include "entry/claims.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::entry {

namespace {

// Longest time that an ordered stop waits for outcomes to be stored.
constexpr common::duration stop_timeout = std::chrono::seconds{3};

/// The timeouts exceed the time that callers wait for the store, which the tracker limits. A
/// transaction of a slow store can therefore end with its response, and its rows need not be read
/// back.
http::client_limits store_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{500};
    limits.head_timeout = std::chrono::seconds{3};
    limits.progress_timeout = std::chrono::seconds{1};
    limits.total_timeout = std::chrono::seconds{5};
    return limits;
}

} // namespace

claims::claims(runtime::task_context context,
               std::shared_ptr<runtime::mailbox<claims_message>> inbox,
               runtime::address<coordinator_message> coordinator, const http::endpoint& platform,
               claim_limits limits, claims_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_coordinator{std::move(coordinator)}, m_store{m_context, platform, store_limits()},
      m_hooks{std::move(hooks)}, m_tracker{limits, m_hooks.random}, m_timer{m_context.loop()},
      m_stop_timer{m_context.loop()} {}

void claims::start() {
    m_inbox.receive(m_context.wrap([this](const claims_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
}

void claims::stop(const runtime::stop_done& done) {
    if (m_tracker.size() == 0) {
        done();
        return;
    }
    m_stop_done = done;
    m_stop_timer.start(stop_timeout, m_context.wrap([this] {
        if (auto call = std::exchange(m_stop_done, nullptr)) {
            m_log.warn("Stopping with claims that are not closed.",
                       {{"claims", std::to_string(m_tracker.size())}});
            call();
        }
    }));
}

void claims::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_stop_timer.cancel();
    m_store.close();
}

void claims::handle(const claim_request& message) {
    perform(m_tracker.request(message, m_hooks.clock(), m_hooks.wall_clock()));
}

void claims::handle(const close_claim& message) {
    perform(m_tracker.close(message, m_hooks.clock()));
}

void claims::perform(const claim_actions& actions) {
    for (const auto& action : actions) {
        std::visit([this](const auto& it) { perform_one(it); }, action);
    }
    arm_timer();
    if (m_stop_done && m_tracker.size() == 0) {
        std::exchange(m_stop_done, nullptr)();
    }
}

void claims::perform_one(const commit_group& action) {
    m_store.commit(action.transaction,
                   [this, group = action.group](table_service::store_status status) {
                       perform(m_tracker.group_committed(group, status, m_hooks.clock()));
                   });
}

void claims::perform_one(const read_claim& action) {
    m_store.read(action.target, [this, id = action.id](const table_service::rows_result& result) {
        perform(m_tracker.row_received(id, result, m_hooks.clock(), m_hooks.wall_clock()));
    });
}

template <typename Response>
void claims::perform_one(const Response& action) {
    if constexpr (std::is_same_v<Response, claim_granted>) {
        ++m_granted;
    } else if constexpr (std::is_same_v<Response, claim_denied>) {
        ++m_denied;
    } else {
        ++(action.recorded ? m_recorded : m_not_recorded);
    }
    if (!m_coordinator.send(action)) {
        m_log.warn("Dropped a response; the coordinator is not running or its mailbox is full.",
                   {{"request", std::to_string(action.id)}});
    }
}

void claims::arm_timer() {
    const auto next = m_tracker.next_due_time();
    if (!next) {
        m_timer.cancel();
        return;
    }
    const auto delay = std::max(*next - m_hooks.clock(), common::duration::zero());
    m_timer.start(delay,
                  m_context.wrap([this] { perform(m_tracker.process_due(m_hooks.clock())); }));
}

boost::json::value claims::dump() const {
    return boost::json::object{{"claims", m_tracker.size()},
                               {"transactions", m_tracker.groups()},
                               {"writes", m_tracker.writes()},
                               {"read_backs", m_tracker.read_backs()},
                               {"granted", m_granted},
                               {"denied", m_denied},
                               {"outcomes_recorded", m_recorded},
                               {"outcomes_not_recorded", m_not_recorded}};
}

} // namespace jujubemast::entry
