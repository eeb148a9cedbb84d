#include "entry/claim_tracker.h"

#include <algorithm>
#include <utility>

namespace jujubemast::entry {

namespace {

constexpr const char* claims_table = "claims";

claim_denied to_denial(std::uint64_t id, const claim_evaluation& evaluation) {
    if (const auto* completed = std::get_if<claim_completed>(&evaluation)) {
        return {id, completed->outcome};
    }
    const auto* refused = std::get_if<claim_refused>(&evaluation);
    return {id, refused != nullptr ? refused->content : unconfirmed_claim_problem()};
}

} // namespace

claim_tracker::claim_tracker(claim_limits limits, common::random_hook random)
    : m_limits{limits}, m_random{std::move(random)} {}

claim_actions claim_tracker::request(const claim_request& message, common::time_point now,
                                     std::int64_t wall_ms) {
    auto row_key = claim_row_key(message.workspace, message.key);
    if (const auto first = m_id_by_row.find(row_key); first != m_id_by_row.end()) {
        // Two writes of the same row in one transaction would both be confirmed. Repeats are
        // therefore answered from memory while the first request is known here.
        const auto& record = m_claims.at(first->second).record;
        return {to_denial(message.id, evaluate_record(record, message.digest, wall_ms))};
    }
    if (m_claims.size() >= m_limits.max_claims) {
        return {
            claim_denied{message.id, problem{problem_kind::overloaded, common::execution::not_run,
                                             "too many claims are in progress", 1}}};
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(message.deadline - now).count();
    auto& added = m_claims[message.id];
    added.row_key = row_key;
    added.record = {message.digest, common::random_identifier(m_random), wall_ms + remaining,
                    wall_ms + m_limits.lifetime.count()};
    added.respond_by = std::min(now + m_limits.max_wait, message.deadline);
    // The coordinator closes each claim shortly after its deadline unless the coordinator has
    // failed.
    added.abandon_at = message.deadline + m_limits.abandon_after;
    m_id_by_row.emplace(std::move(row_key), message.id);
    schedule(message.id, added);
    enqueue(message.id, added, now);
    return process_due(now);
}

claim_actions claim_tracker::close(const close_claim& message, common::time_point now) {
    const auto position = m_claims.find(message.id);
    if (position == m_claims.end()) {
        return {claim_closed{message.id, false}};
    }
    auto& it = position->second;
    if (it.phase != claim_phase::held) {
        if (it.phase == claim_phase::taking && !it.responded) {
            // The request has ended before its claim was confirmed.
            abandon(message.id, it);
        }
        return {claim_closed{message.id, false}};
    }
    it.phase = message.outcome ? claim_phase::settling : claim_phase::releasing;
    it.record.outcome = message.outcome.value_or(it.record.outcome);
    it.responded = false;
    it.respond_by = now + m_limits.max_wait;
    it.abandon_at = now + m_limits.abandon_after;
    schedule(message.id, it);
    enqueue(message.id, it, now);
    return process_due(now);
}

void claim_tracker::enqueue(std::uint64_t id, claim& it, common::time_point now) {
    if (m_queue.empty()) {
        m_flush_at = now + m_limits.flush_delay;
    }
    it.write = write_state::queued;
    m_queue.push_back(id);
}

void claim_tracker::retry_later(std::uint64_t id, claim& it, write_state state,
                                common::time_point now) {
    it.write = state;
    it.retry_at = now + m_limits.retry_interval;
    schedule(id, it);
}

void claim_tracker::flush(common::time_point now, claim_actions& actions) {
    while (!m_queue.empty() && m_groups.size() < m_limits.max_groups_in_progress &&
           (m_queue.size() >= m_limits.max_group || now >= m_flush_at)) {
        commit_group action{++m_groups_sent, {}};
        auto& members = m_groups[action.group];
        while (!m_queue.empty() && members.size() < m_limits.max_group) {
            const auto id = m_queue.front();
            m_queue.pop_front();
            const auto position = m_claims.find(id);
            if (position == m_claims.end() || position->second.write != write_state::queued) {
                continue;
            }
            position->second.write = write_state::in_group;
            position->second.sent = true;
            add_write(position->second, action.transaction);
            members.push_back(id);
        }
        if (members.empty()) {
            m_groups.erase(action.group);
            return;
        }
        m_writes_sent += members.size();
        actions.emplace_back(std::move(action));
    }
}

void claim_tracker::add_write(const claim& it, table_service::transaction& transaction) const {
    const table_service::row_key target{claims_table, it.row_key};
    transaction.conditions.push_back({target, it.version});
    if (it.phase == claim_phase::releasing) {
        transaction.writes.push_back({target, std::nullopt});
    } else {
        transaction.writes.push_back({target, to_json(it.record)});
    }
}

claim_actions claim_tracker::group_committed(std::uint64_t group,
                                             table_service::store_status status,
                                             common::time_point now) {
    claim_actions actions;
    const auto node = m_groups.extract(group);
    if (node.empty()) {
        return actions;
    }
    for (const auto id : node.mapped()) {
        const auto position = m_claims.find(id);
        if (position == m_claims.end()) {
            continue;
        }
        auto& it = position->second;
        switch (status) {
        case table_service::store_status::done:
            ++it.version;
            write_applied(id, it, now, actions);
            break;
        case table_service::store_status::unavailable:
            write_refused(id, it, now, actions);
            break;
        case table_service::store_status::conflict:
        case table_service::store_status::unknown:
            read_back(id, it, actions);
            break;
        }
    }
    flush(now, actions);
    return actions;
}

void claim_tracker::read_back(std::uint64_t id, claim& it, claim_actions& actions) {
    ++m_read_backs;
    it.write = write_state::reading;
    actions.emplace_back(read_claim{id, {claims_table, it.row_key}});
}

void claim_tracker::write_refused(std::uint64_t id, claim& it, common::time_point now,
                                  claim_actions& actions) {
    if (it.phase != claim_phase::taking) {
        retry_later(id, it, write_state::waiting_to_write, now);
        return;
    }
    if (!it.responded) {
        actions.emplace_back(claim_denied{id, unconfirmed_claim_problem()});
    }
    erase(id);
}

void claim_tracker::write_applied(std::uint64_t id, claim& it, common::time_point now,
                                  claim_actions& actions) {
    if (it.phase != claim_phase::taking) {
        if (!it.responded) {
            actions.emplace_back(claim_closed{id, true});
        }
        erase(id);
        return;
    }
    if (it.responded) {
        it.phase = claim_phase::releasing;
        enqueue(id, it, now);
        return;
    }
    it.phase = claim_phase::held;
    it.write = write_state::none;
    it.responded = true;
    actions.emplace_back(claim_granted{id});
}

claim_actions claim_tracker::row_received(std::uint64_t id,
                                          const table_service::rows_result& result,
                                          common::time_point now, std::int64_t wall_ms) {
    claim_actions actions;
    const auto position = m_claims.find(id);
    if (position == m_claims.end() || position->second.write != write_state::reading) {
        return actions;
    }
    auto& it = position->second;
    if (result.status != table_service::store_status::done || result.rows.empty()) {
        retry_later(id, it, write_state::waiting_to_read, now);
        return actions;
    }
    if (it.phase == claim_phase::taking) {
        resolve_acquisition(id, it, result.rows.front(), now, wall_ms, actions);
    } else {
        resolve_closing(id, it, result.rows.front(), now, actions);
    }
    flush(now, actions);
    return actions;
}

void claim_tracker::resolve_acquisition(std::uint64_t id, claim& it, const table_service::row& row,
                                        common::time_point now, std::int64_t wall_ms,
                                        claim_actions& actions) {
    const auto evaluation = evaluate_claim(row, it.record.digest, it.record.token, wall_ms);
    if (const auto* owned = std::get_if<claim_owned>(&evaluation)) {
        it.version = owned->version;
        write_applied(id, it, now, actions);
        return;
    }
    if (const auto* available = std::get_if<claim_available>(&evaluation)) {
        it.version = available->version;
        if (it.responded) {
            // The caller was refused, but the transaction may still take effect. A delete of the
            // absent row that is conditional on its version makes that transaction fail.
            it.phase = claim_phase::releasing;
        }
        enqueue(id, it, now);
        return;
    }
    if (!it.responded) {
        actions.emplace_back(to_denial(id, evaluation));
    }
    erase(id);
}

void claim_tracker::resolve_closing(std::uint64_t id, claim& it, const table_service::row& row,
                                    common::time_point now, claim_actions& actions) {
    const auto record = claim_from_json(row.value);
    const bool own = record && record->token == it.record.token;
    const bool unchanged =
        (own && record->outcome.state == claim_state::in_progress) ||
        (row.value.is_null() && it.phase == claim_phase::releasing && row.version == it.version);
    if (unchanged) {
        it.version = row.version;
        enqueue(id, it, now);
        return;
    }
    if (own || it.phase == claim_phase::releasing) {
        write_applied(id, it, now, actions);
        return;
    }
    if (!it.responded) {
        actions.emplace_back(claim_closed{id, false});
    }
    erase(id);
}

claim_actions claim_tracker::process_due(common::time_point now) {
    claim_actions actions;
    while (!m_due_times.empty() && m_due_times.begin()->first <= now) {
        process_claim(m_due_times.begin()->second, now, actions);
    }
    flush(now, actions);
    return actions;
}

void claim_tracker::process_claim(std::uint64_t id, common::time_point now,
                                  claim_actions& actions) {
    auto& it = m_claims.at(id);
    if (now >= it.abandon_at) {
        erase(id);
        return;
    }
    if (!it.responded && now >= it.respond_by) {
        wait_expired(id, it, actions);
        if (!m_claims.contains(id)) {
            return;
        }
    }
    if (it.write == write_state::waiting_to_write && now >= it.retry_at) {
        enqueue(id, it, now);
    } else if (it.write == write_state::waiting_to_read && now >= it.retry_at) {
        read_back(id, it, actions);
    }
    schedule(id, it);
}

void claim_tracker::schedule(std::uint64_t id, claim& it) {
    m_due_times.erase({it.due_at, id});
    it.due_at = it.abandon_at;
    if (!it.responded) {
        it.due_at = std::min(it.due_at, it.respond_by);
    }
    if (it.write == write_state::waiting_to_write || it.write == write_state::waiting_to_read) {
        it.due_at = std::min(it.due_at, it.retry_at);
    }
    m_due_times.emplace(it.due_at, id);
}

void claim_tracker::wait_expired(std::uint64_t id, claim& it, claim_actions& actions) {
    it.responded = true;
    if (it.phase != claim_phase::taking) {
        actions.emplace_back(claim_closed{id, false});
        return;
    }
    actions.emplace_back(claim_denied{id, unconfirmed_claim_problem()});
    abandon(id, it);
}

void claim_tracker::abandon(std::uint64_t id, claim& it) {
    it.responded = true;
    if (!it.sent) {
        erase(id);
    } else if (it.write == write_state::queued) {
        it.phase = claim_phase::releasing;
    }
}

std::optional<common::time_point> claim_tracker::next_due_time() const {
    std::optional<common::time_point> next;
    if (!m_due_times.empty()) {
        next = m_due_times.begin()->first;
    }
    if (!m_queue.empty() && m_groups.size() < m_limits.max_groups_in_progress) {
        next = std::min(next.value_or(m_flush_at), m_flush_at);
    }
    return next;
}

void claim_tracker::erase(std::uint64_t id) {
    const auto position = m_claims.find(id);
    m_due_times.erase({position->second.due_at, id});
    m_id_by_row.erase(position->second.row_key);
    m_claims.erase(position);
}

} // namespace jujubemast::entry
