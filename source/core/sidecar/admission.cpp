#include "sidecar/admission.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::sidecar {

namespace {

// Interval between checks of results and tombstones for passed deadlines.
constexpr common::duration expiry_interval = std::chrono::milliseconds{50};

// The translated deadline is early by at most the age of the heartbeat response it was derived
// from, which is bounded by the entries' silence limit. Records are kept for longer than that, so
// that a late copy of a dispatch is not reported as `not_run` while an entry still waits for its
// outcome.
constexpr common::duration record_retention = std::chrono::seconds{2};
std::int64_t to_microsecond_count(common::duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

} // namespace

admission::admission(runtime::task_context context,
                     std::shared_ptr<runtime::mailbox<admission_message>> inbox,
                     runtime::address<link_command> link,
                     runtime::address<upstream_command> upstream, admission_options options,
                     admission_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_link{std::move(link)},
      m_upstream{std::move(upstream)}, m_options{std::move(options)}, m_hooks{std::move(hooks)},
      m_control{m_hooks.queue, m_hooks.limit, policy::deadline_check{m_options.deadlines},
                m_options.shares},
      m_status{m_context, m_link, m_options.status_interval, [this] { return read_status(); }},
      m_expiry_timer{m_context.loop()}, m_incarnation{m_hooks.random()} {}

void admission::start() {
    m_inbox.receive(m_context.wrap([this](const admission_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
        m_status.notify_changed();
    }));
    m_status.send_now();
    schedule_expiry();
}

void admission::stop(const runtime::stop_done& done) {
    m_draining = true;
    m_stop_done = done;
    m_status.send_now();
    return_queued_work("the sidecar is stopping");
    check_drained();
}

void admission::close() noexcept {
    m_inbox.close();
    m_expiry_timer.cancel();
    m_status.close();
}

void admission::handle(const entry_message& message) {
    if (const auto* dispatch = std::get_if<protocol::dispatch>(&message.content)) {
        dispatch_received(message.routing_id, *dispatch);
    } else if (const auto* cancel = std::get_if<protocol::cancel>(&message.content)) {
        cancel_received(message.routing_id, *cancel);
    } else if (const auto* acknowledge = std::get_if<protocol::acknowledge>(&message.content)) {
        acknowledge_received(*acknowledge);
    } else if (const auto* fetch = std::get_if<protocol::fetch>(&message.content)) {
        fetch_received(message.routing_id, *fetch);
    }
}

void admission::dispatch_received(const std::string& routing_id,
                                  const protocol::dispatch& dispatch) {
    const auto now = m_hooks.clock();
    if (dispatch.identity.incarnation != m_incarnation) {
        // A copy of this dispatch may have run in the earlier process.
        send_refusal(routing_id, dispatch.identity, protocol::refusal_reason::wrong_incarnation,
                     common::execution::unknown, "addressed to an earlier process");
        return;
    }
    if (auto* known = find(dispatch.identity)) {
        // A duplicate of known work, or a dispatch that arrived after its cancellation.
        known->routing_id = routing_id;
        if (known->outcome) {
            m_link.send(send_to_entry{routing_id, *known->outcome});
        }
        return;
    }
    const auto deadline = common::from_microseconds(dispatch.deadline_us);
    if (deadline <= now) {
        send_refusal(routing_id, dispatch.identity, protocol::refusal_reason::deadline_passed,
                     common::execution::not_run, "the deadline had passed on arrival");
        return;
    }
    if (!accepts_work()) {
        send_refusal(routing_id, dispatch.identity, protocol::refusal_reason::draining,
                     common::execution::not_run, "the instance is leaving or stopping");
        return;
    }
    const auto id = m_next_id++;
    auto& record = m_records[id];
    record.id = id;
    record.routing_id = routing_id;
    record.dispatch = dispatch;
    record.deadline = deadline;
    record.queued_at = now;
    m_id_by_identity.emplace(dispatch.identity, id);
    m_deadlines.emplace(deadline, id);
    m_metrics.accepted(dispatch.priority, dispatch.identity.attempt);
    enqueue(record);
    start_queued_calls();
}

void admission::enqueue(work_record& record) {
    const auto& dispatch = record.dispatch;
    policy::admission_request work;
    work.id = record.id;
    work.workspace = dispatch.workspace;
    work.priority = dispatch.priority;
    work.deadline = record.deadline;
    work.reserve = std::chrono::microseconds{dispatch.reserve_us};
    work.operation = dispatch.operation;
    work.size.input_bytes = dispatch.body.size();
    work.size.output_tokens =
        dispatch.max_output_tokens -
        std::min<std::uint64_t>(dispatch.max_output_tokens, dispatch.resume_offset);
    work.service_time_hint = std::chrono::microseconds{dispatch.estimated_cost_us};
    const auto decision = m_control.admit(work, record.queued_at);
    if (decision.deadline_unreachable) {
        refuse(record, protocol::refusal_reason::deadline_unreachable, common::execution::not_run,
               "the expected wait and service time exceed the deadline");
    }
    for (const auto id : decision.refused) {
        refuse(m_records.at(id), protocol::refusal_reason::overloaded, common::execution::not_run,
               "the queue is full");
    }
}

void admission::start_queued_calls() {
    while (true) {
        const auto decision = m_control.start_next(m_running, m_hooks.clock());
        for (const auto id : decision.infeasible) {
            refuse(m_records.at(id), protocol::refusal_reason::deadline_unreachable,
                   common::execution::not_run, "too little time was left in the queue");
        }
        if (!decision.started) {
            return;
        }
        start_call(m_records.at(*decision.started));
    }
}

void admission::start_call(work_record& record) {
    const auto now = m_hooks.clock();
    if (record.deadline <= now) {
        refuse(record, protocol::refusal_reason::deadline_passed, common::execution::not_run,
               "the deadline passed in the queue");
        return;
    }
    record.state = work_state::running;
    record.started_at = now;
    ++m_running;
    m_upstream.send(sidecar::start_call{record.id, record.dispatch, record.deadline - now});
}

void admission::cancel_running(work_record& record) {
    --m_running;
    m_upstream.send(cancel_call{record.id});
}

void admission::handle(const call_chunk& message) {
    auto* record = find_call(message.call);
    if (record == nullptr) {
        return;
    }
    const auto sequence = static_cast<std::uint32_t>(record->chunks.size());
    record->digest.update(message.payload);
    record->chunks.push_back(message.payload);
    m_link.send(
        send_to_entry{record->routing_id, protocol::result_chunk{record->dispatch.identity,
                                                                 sequence, message.payload}});
}

void admission::handle(const call_done& message) {
    auto* record = find_call(message.call);
    if (record == nullptr) {
        return;
    }
    const auto now = m_hooks.clock();
    m_control.completed(record->id, m_running, now);
    --m_running;
    ++m_completed;
    const protocol::result_end end{
        record->dispatch.identity, static_cast<std::uint32_t>(record->chunks.size()),
        record->digest.value(), to_microsecond_count(record->started_at - record->queued_at),
        to_microsecond_count(now - record->started_at)};
    m_metrics.completed(record->dispatch.priority, end);
    finish(*record, end);
    start_queued_calls();
}

void admission::handle(const call_failed& message) {
    auto* record = find_call(message.call);
    if (record == nullptr) {
        return;
    }
    --m_running;
    ++m_failed;
    refuse(*record, message.reason, message.execution, message.detail);
    start_queued_calls();
    check_drained();
}

void admission::handle(const shares_changed& message) {
    m_control.set_shares(*message.current);
}

void admission::refuse(work_record& record, protocol::refusal_reason reason,
                       common::execution execution, std::string detail) {
    m_metrics.refused(reason, execution);
    const auto wait = m_control.expected_wait(record.dispatch.priority, m_hooks.clock());
    const auto retry_after =
        std::max<common::duration>(std::chrono::milliseconds{m_options.retry_after_ms}, wait);
    finish(record, protocol::refusal{record.dispatch.identity, reason, execution,
                                     to_microsecond_count(retry_after), std::move(detail)});
}

void admission::finish(work_record& record, protocol::message outcome) {
    record.state = work_state::finished;
    m_control.forget(record.id);
    if (record.orphaned) {
        release(record);
        return;
    }
    m_unacknowledged[record.id] = m_hooks.clock();
    record.outcome = std::make_unique<protocol::message>(std::move(outcome));
    m_link.send(send_to_entry{record.routing_id, *record.outcome});
}

void admission::send_refusal(const std::string& routing_id, const protocol::work_identity& identity,
                             protocol::refusal_reason reason, common::execution execution,
                             std::string detail) {
    m_metrics.refused(reason, execution);
    m_link.send(
        send_to_entry{routing_id, protocol::refusal{identity, reason, execution,
                                                    std::int64_t{m_options.retry_after_ms} * 1000,
                                                    std::move(detail)}});
}

void admission::handle(const admin::metrics_query& message) {
    admission_gauges current;
    for (std::size_t n = 0; n < current.queued.size(); ++n) {
        current.queued.at(n) = m_hooks.queue.size(static_cast<common::priority>(n));
    }
    current.running = m_running;
    admin::respond_with_metrics(message, m_metrics.text(current));
}

void admission::schedule_expiry() {
    m_expiry_timer.start(expiry_interval, m_context.wrap([this] {
        expire();
        schedule_expiry();
    }));
}

void admission::expire() {
    const auto now = m_hooks.clock();
    resend_outcomes(now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        auto& record = m_records.at(id);
        m_deadlines.erase(m_deadlines.begin());
        if (record.deadline + record_retention <= now) {
            remove_record(record);
            continue;
        }
        m_deadlines.emplace(record.deadline + record_retention, id);
        if (record.state == work_state::queued) {
            m_hooks.queue.remove(id);
            refuse(record, protocol::refusal_reason::deadline_passed, common::execution::not_run,
                   "the deadline passed in the queue");
        } else if (record.state == work_state::running) {
            cancel_running(record);
            refuse(record, protocol::refusal_reason::deadline_passed, common::execution::unknown,
                   "the deadline passed at the upstream");
        }
        m_unacknowledged.erase(id);
    }
    start_queued_calls();
    m_status.notify_changed();
    check_drained();
}

void admission::remove_record(const work_record& record) {
    const auto id = record.id;
    m_control.forget(id);
    m_id_by_identity.erase(record.dispatch.identity);
    m_unacknowledged.erase(id);
    m_records.erase(id);
}

admission::work_record* admission::find(const protocol::work_identity& identity) {
    const auto it = m_id_by_identity.find(identity);
    return it == m_id_by_identity.end() ? nullptr : &m_records.at(it->second);
}

admission::work_record* admission::find_call(std::uint64_t id) {
    const auto it = m_records.find(id);
    return it == m_records.end() || it->second.state != work_state::running ? nullptr : &it->second;
}

status_changed admission::read_status() const {
    status_changed status;
    status.incarnation = m_incarnation;
    status.draining = !accepts_work();
    const auto now = m_hooks.clock();
    for (std::size_t n = 0; n < common::enumerator_count<common::priority>(); ++n) {
        const auto priority = static_cast<common::priority>(n);
        status.load.queued += static_cast<std::uint32_t>(m_hooks.queue.size(priority));
        status.load.queue_wait_us.at(n) =
            to_microsecond_count(m_control.expected_wait(priority, now));
    }
    status.load.in_progress = m_running;
    status.load.limit = m_control.limit();
    status.load.completed = m_completed;
    status.load.failed = m_failed;
    return status;
}

boost::json::value admission::dump() const {
    boost::json::object queued;
    for (std::size_t n = 0; n < common::enumerator_count<common::priority>(); ++n) {
        const auto priority = static_cast<common::priority>(n);
        queued[common::to_name(priority)] = m_hooks.queue.size(priority);
    }
    return boost::json::object{
        {"incarnation", m_incarnation}, {"draining", m_draining},
        {"leaving", m_leaving},         {"unacknowledged", m_unacknowledged.size()},
        {"running", m_running},         {"limit", m_control.limit()},
        {"queued", std::move(queued)},  {"records", m_records.size()},
        {"completed", m_completed},     {"failed", m_failed}};
}

} // namespace jujubemast::sidecar
