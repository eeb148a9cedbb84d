// The part of the admission task that handles work after its dispatch: cancellations, outcomes
// until they are acknowledged, work of connections that have gone silent, and draining.
#include <utility>

#include "sidecar/admission.h"

namespace jujubemast::sidecar {

void admission::cancel_received(const std::string& routing_id, const protocol::cancel& cancel) {
    if (cancel.identity.incarnation != m_incarnation) {
        return;
    }
    auto* record = find(cancel.identity);
    auto execution = common::execution::not_run;
    if (record == nullptr) {
        // The tombstone causes the dispatch to be refused if it arrives after its cancellation.
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
    cancel_record(*record, execution, "cancelled by the entry");
    m_link.send(send_to_entry{routing_id, protocol::cancelled{cancel.identity, execution}});
    start_queued_calls();
    check_drained();
}

admission::work_record& admission::add_tombstone(const protocol::work_identity& identity,
                                                 std::int64_t deadline_us) {
    // No tombstone is needed after the deadline, because a dispatch that arrives later is refused
    // anyway.
    const auto id = m_next_id++;
    auto& record = m_records[id];
    record.id = id;
    record.dispatch.identity = identity;
    record.state = work_state::cancelled;
    record.deadline = common::from_microseconds(deadline_us);
    record.outcome = std::make_unique<protocol::message>(
        protocol::refusal{identity, protocol::refusal_reason::not_found, common::execution::not_run,
                          0, "the work had not arrived when it was asked for"});
    m_id_by_identity.emplace(identity, id);
    m_deadlines.emplace(record.deadline, id);
    return record;
}

void admission::acknowledge_received(const protocol::acknowledge& acknowledge) {
    if (auto* record = find(acknowledge.identity)) {
        if (record->state == work_state::finished) {
            // The record is kept until the deadline. Without it, a duplicate of the dispatch would
            // run again.
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
        // All received work is recorded until its deadline, so this dispatch was lost in transit.
        // If it still arrives, the tombstone ensures that it does not run, as reported to the
        // entry.
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

void admission::handle(const connection_lost& message) {
    for (auto& [id, record] : m_records) {
        if (record.routing_id == message.routing_id) {
            abandon(record);
        }
    }
    start_queued_calls();
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
            // Aborting a call does not undo it and would leave its outcome at the upstream unknown.
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
    cancel_record(record, execution, "the connection was silent");
}

void admission::cancel_record(work_record& record, common::execution execution,
                              std::string detail) {
    release(record);
    record.state = work_state::cancelled;
    record.outcome = std::make_unique<protocol::message>(
        protocol::refusal{record.dispatch.identity, protocol::refusal_reason::cancelled, execution,
                          0, std::move(detail)});
}

void admission::release(work_record& record) {
    record.state = work_state::released;
    m_control.forget(record.id);
    record.chunks.clear();
    record.dispatch.body.clear();
    record.outcome.reset();
    m_unacknowledged.erase(record.id);
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

void admission::handle(const leaving_changed& message) {
    m_leaving = message.leaving;
    m_log.info(m_leaving ? "Instance is leaving." : "Instance is no longer leaving.");
    if (m_leaving) {
        return_queued_work("the instance is leaving");
    }
}

void admission::handle(const drain_announced& message) {
    m_drain_announced = message.to_all_entries;
    check_drained();
}

void admission::return_queued_work(const std::string& detail) {
    // Queued work has not run, so the entries can send it elsewhere.
    while (const auto next = m_hooks.queue.pop(m_hooks.clock())) {
        refuse(m_records.at(next->id), protocol::refusal_reason::draining,
               common::execution::not_run, detail);
    }
}

void admission::check_drained() {
    // An outcome that is not acknowledged yet may have to be resent.
    if (!m_stop_done || !m_drain_announced || m_running > 0 || !m_unacknowledged.empty()) {
        return;
    }
    std::exchange(m_stop_done, nullptr)();
}

} // namespace jujubemast::sidecar
