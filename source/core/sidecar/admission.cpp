#include "sidecar/admission.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::sidecar {

namespace {

// Results and tombstones are looked through for passed deadlines at this interval.
constexpr common::duration expiry_interval = std::chrono::milliseconds{50};

// The translated deadline is early by at most the age of the heartbeat answer it was derived from,
// which is bounded by the entries' silence limit. Records are kept for longer than that, so that a
// late copy of a dispatch is not called "not run" while an entry still waits for its outcome.
constexpr common::duration record_grace = std::chrono::seconds{2};

} // namespace

admission::admission(runtime::task_context context,
                     std::shared_ptr<runtime::mailbox<admission_message>> inbox,
                     runtime::address<link_command> link,
                     runtime::address<upstream_command> upstream, admission_options options,
                     admission_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_link{std::move(link)},
      m_upstream{std::move(upstream)}, m_options{options}, m_hooks{std::move(hooks)},
      m_expiry_timer{m_context.loop()}, m_incarnation{m_hooks.random()} {}

void admission::start() {
    m_inbox.receive(m_context.wrap([this](const admission_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
        announce_status();
    }));
    announce_status();
    schedule_expiry();
}

void admission::stop(const runtime::stop_done& done) {
    m_draining = true;
    m_done = done;
    announce_status();
    give_up_queue("the sidecar is stopping");
    check_drained();
}

void admission::give_up_queue(const std::string& detail) {
    // Queued work has not run, so the entries can send it elsewhere.
    while (const auto next = m_hooks.queue.pop(m_hooks.clock())) {
        refuse(m_records.at(next->id), protocol::refusal_reason::draining,
               common::execution::not_run, detail);
    }
}

void admission::handle(const leaving_changed& message) {
    m_leaving = message.leaving;
    m_log.info(m_leaving ? "Instance is leaving." : "Instance is no longer leaving.");
    if (m_leaving) {
        give_up_queue("the instance is leaving");
    }
}

void admission::handle(const drain_announced& message) {
    m_drain_announced = message.everywhere;
    check_drained();
}

void admission::handle(const connection_lost& message) {
    for (auto& [id, record] : m_records) {
        if (record.routing_id == message.routing_id) {
            abandon(record);
        }
    }
    run_next();
    check_drained();
}

void admission::abandon(work_record& record) {
    auto execution = common::execution::not_run;
    switch (record.state) {
    case work_state::queued:
        m_hooks.queue.remove(record.id);
        break;
    case work_state::running:
        if (!record.dispatch.idempotent) {
            // Cutting off a call does not undo it, and its outcome would stay open at the upstream.
            record.orphaned = true;
            return;
        }
        execution = common::execution::unknown;
        cancel_running(record);
        break;
    case work_state::finished:
        execution = common::execution::ran;
        break;
    case work_state::cancelled:
    case work_state::released:
        return;
    }
    bury(record, execution, "the connection was silent");
}

void admission::bury(work_record& record, common::execution execution, std::string detail) {
    release(record);
    record.state = work_state::cancelled;
    record.outcome = std::make_unique<protocol::message>(
        protocol::refusal{record.dispatch.identity, protocol::refusal_reason::cancelled, execution,
                          0, std::move(detail)});
}

void admission::release(work_record& record) {
    record.state = work_state::released;
    record.chunks.clear();
    record.dispatch.body.clear();
    record.outcome.reset();
    m_unacknowledged.erase(record.id);
}

void admission::close() noexcept {
    m_inbox.close();
    m_expiry_timer.cancel();
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
        // A copy of this dispatch may have run in that process.
        send_refusal(routing_id, dispatch.identity, protocol::refusal_reason::wrong_incarnation,
                     common::execution::unknown, "addressed to an earlier process");
        return;
    }
    if (auto* known = find(dispatch.identity)) {
        // A duplicate of work that is known, or a dispatch that its cancellation has overtaken.
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
    if (!takes_work()) {
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
    m_ids.emplace(dispatch.identity, id);
    m_deadlines.emplace(deadline, id);
    enqueue(record);
    run_next();
}

void admission::enqueue(work_record& record) {
    const policy::queued_work work{record.id, record.dispatch.workspace, record.dispatch.priority,
                                   record.deadline,
                                   std::chrono::microseconds{record.dispatch.estimated_cost_us}};
    for (const auto id : m_hooks.queue.push(work)) {
        refuse(m_records.at(id), protocol::refusal_reason::overloaded, common::execution::not_run,
               "the queue is full");
    }
}

void admission::run_next() {
    while (m_running < m_options.concurrency) {
        const auto next = m_hooks.queue.pop(m_hooks.clock());
        if (!next) {
            return;
        }
        start_call(m_records.at(next->id));
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

void admission::cancel_received(const std::string& routing_id, const protocol::cancel& cancel) {
    if (cancel.identity.incarnation != m_incarnation) {
        return;
    }
    auto* record = find(cancel.identity);
    auto execution = common::execution::not_run;
    if (record == nullptr) {
        // The tombstone refuses the dispatch, should it arrive after its cancellation.
        record = &add_tombstone(cancel.identity, cancel.deadline_us);
    } else if (record->state == work_state::queued) {
        m_hooks.queue.remove(record->id);
    } else if (record->state == work_state::running) {
        execution = common::execution::unknown;
        cancel_running(*record);
    } else if (record->state == work_state::cancelled) {
        m_link.send(send_to_entry{routing_id, *record->outcome});
        return;
    } else {
        execution = common::execution::ran;
    }
    record->routing_id = routing_id;
    bury(*record, execution, "cancelled by the entry");
    m_link.send(send_to_entry{routing_id, protocol::cancelled{cancel.identity, execution}});
    run_next();
    check_drained();
}

admission::work_record& admission::add_tombstone(const protocol::work_identity& identity,
                                                 std::int64_t deadline_us) {
    // A dispatch that arrives after its deadline is refused without a tombstone.
    const auto id = m_next_id++;
    auto& record = m_records[id];
    record.id = id;
    record.dispatch.identity = identity;
    record.state = work_state::cancelled;
    record.deadline = common::from_microseconds(deadline_us);
    record.outcome = std::make_unique<protocol::message>(
        protocol::refusal{identity, protocol::refusal_reason::not_found, common::execution::not_run,
                          0, "the work had not arrived when it was asked for"});
    m_ids.emplace(identity, id);
    m_deadlines.emplace(record.deadline, id);
    return record;
}

void admission::cancel_running(work_record& record) {
    --m_running;
    m_upstream.send(cancel_call{record.id});
}

void admission::acknowledge_received(const protocol::acknowledge& acknowledge) {
    if (auto* record = find(acknowledge.identity)) {
        if (record->state == work_state::finished) {
            // The record stays until the deadline; without it a repeated dispatch would run again.
            release(*record);
            check_drained();
        }
    }
}

void admission::fetch_received(const std::string& routing_id, const protocol::fetch& fetch) {
    auto* record = find(fetch.identity);
    if (record == nullptr && fetch.identity.incarnation != m_incarnation) {
        send_refusal(routing_id, fetch.identity, protocol::refusal_reason::wrong_incarnation,
                     common::execution::unknown, "addressed to an earlier process");
        return;
    }
    if (record == nullptr) {
        // All work is known until its deadline, so this dispatch was lost on its way. The tombstone
        // keeps the promise that it has not run, should it arrive later.
        record = &add_tombstone(fetch.identity, fetch.deadline_us);
    }
    record->routing_id = routing_id;
    record->orphaned = false;
    for (auto n = fetch.from_sequence; n < record->chunks.size(); ++n) {
        m_link.send(send_to_entry{
            routing_id, protocol::result_chunk{record->dispatch.identity, n, record->chunks[n]}});
    }
    if (record->outcome) {
        m_link.send(send_to_entry{routing_id, *record->outcome});
    }
}

void admission::handle(const call_piece& message) {
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
    const auto microseconds = [](common::duration it) {
        return std::chrono::duration_cast<std::chrono::microseconds>(it).count();
    };
    --m_running;
    ++m_completed;
    finish(*record, protocol::result_end{record->dispatch.identity,
                                         static_cast<std::uint32_t>(record->chunks.size()),
                                         record->digest.value(),
                                         microseconds(record->started_at - record->queued_at),
                                         microseconds(now - record->started_at)});
    run_next();
}

void admission::handle(const call_failed& message) {
    auto* record = find_call(message.call);
    if (record == nullptr) {
        return;
    }
    --m_running;
    ++m_failed;
    refuse(*record, protocol::refusal_reason::upstream_failed, message.execution, message.detail);
    run_next();
    check_drained();
}

void admission::refuse(work_record& record, protocol::refusal_reason reason,
                       common::execution execution, std::string detail) {
    finish(record,
           protocol::refusal{record.dispatch.identity, reason, execution,
                             std::int64_t{m_options.retry_after_ms} * 1000, std::move(detail)});
}

void admission::finish(work_record& record, protocol::message outcome) {
    record.state = work_state::finished;
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
    m_link.send(
        send_to_entry{routing_id, protocol::refusal{identity, reason, execution,
                                                    std::int64_t{m_options.retry_after_ms} * 1000,
                                                    std::move(detail)}});
}

void admission::schedule_expiry() {
    m_expiry_timer.start(expiry_interval, m_context.wrap([this] {
        expire();
        schedule_expiry();
    }));
}

void admission::resend_outcomes(common::time_point now) {
    for (auto& [id, sent] : m_unacknowledged) {
        if (now - sent >= m_options.resend_interval) {
            sent = now;
            const auto& record = m_records.at(id);
            m_link.send(send_to_entry{record.routing_id, *record.outcome});
        }
    }
}

void admission::expire() {
    const auto now = m_hooks.clock();
    resend_outcomes(now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        auto& record = m_records.at(id);
        m_deadlines.erase(m_deadlines.begin());
        if (record.deadline + record_grace <= now) {
            forget(record);
            continue;
        }
        m_deadlines.emplace(record.deadline + record_grace, id);
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
    run_next();
    announce_status();
    check_drained();
}

void admission::forget(const work_record& record) {
    const auto id = record.id;
    m_ids.erase(record.dispatch.identity);
    m_unacknowledged.erase(id);
    m_records.erase(id);
}

admission::work_record* admission::find(const protocol::work_identity& identity) {
    const auto it = m_ids.find(identity);
    return it == m_ids.end() ? nullptr : &m_records.at(it->second);
}

admission::work_record* admission::find_call(std::uint64_t id) {
    const auto it = m_records.find(id);
    return it == m_records.end() || it->second.state != work_state::running ? nullptr : &it->second;
}

void admission::announce_status() {
    status_changed status;
    status.incarnation = m_incarnation;
    status.draining = !takes_work();
    for (std::size_t n = 0; n < common::enumerator_count<common::priority>(); ++n) {
        status.load.queued +=
            static_cast<std::uint32_t>(m_hooks.queue.size(static_cast<common::priority>(n)));
    }
    status.load.in_progress = m_running;
    status.load.limit = m_options.concurrency;
    status.load.completed = m_completed;
    status.load.failed = m_failed;
    m_link.send(std::move(status));
}

void admission::check_drained() {
    // An outcome that is not acknowledged yet may have to be sent again.
    if (!m_done || !m_drain_announced || m_running > 0 || !m_unacknowledged.empty()) {
        return;
    }
    std::exchange(m_done, nullptr)();
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
        {"running", m_running},         {"concurrency", m_options.concurrency},
        {"queued", std::move(queued)},  {"records", m_records.size()},
        {"completed", m_completed},     {"failed", m_failed}};
}

} // namespace jujubemast::sidecar
