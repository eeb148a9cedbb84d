#include <algorithm>
#include <utility>

#include "gateway/requests/forwarder.h"

// Finds an engine for a long prompt that reads no other one, together with the gateways that own
// the engines.

namespace jujubemast::gateway::requests {

void forwarder::handle(const reading_request& message) {
    const auto now = common::monotonic_clock::now();
    const bool granted =
        m_readings.request(message.engine, {message.origin, message.number}, message.reading, now);
    m_peers.send(reading_response{message.origin, message.number, granted,
                                  granted ? common::duration::zero()
                                          : m_readings.free_in(message.engine, now)});
}

void forwarder::handle(const reading_ended& message) {
    m_readings.end(message.engine, {message.origin, message.number});
}

void forwarder::handle(const reading_response& message) {
    const auto question = m_reading_questions.find(message.number);
    if (question == m_reading_questions.end()) {
        // The search has ended, and the owner has been told so.
        return;
    }
    auto& ex = *find(question->second);
    if (!message.granted) {
        ex.reading_end.reset();
    }
    apply_reading_step(ex, ex.reading->answered(message.number, message.granted, message.free_in,
                                                common::monotonic_clock::now()));
}

bool forwarder::start_reading_search(exchange& ex) {
    // A request that has waited for an instance takes the one that is free now.
    if (ex.waiting || ex.matched_route->kind != repeatability::stream ||
        !instances::is_long_prompt(ex.request.prompt_tokens)) {
        return false;
    }
    const auto now = common::monotonic_clock::now();
    ex.reading.emplace(now);
    if (!ask_for_reading(ex)) {
        end_reading_search(ex);
        return false;
    }
    ex.reading_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.reading_timer->start(ex.reading->ends() - now, m_context.wrap([this, id = ex.id] {
        auto* searching = find(id);
        if (searching != nullptr && searching->reading) {
            apply_reading_step(*searching, searching->reading->time_over());
        }
    }));
    return true;
}

bool forwarder::ask_for_reading(exchange& ex) {
    auto routing = make_routing_request(ex);
    const auto& refused = ex.reading->refused();
    routing.excluded.insert(routing.excluded.end(), refused.begin(), refused.end());
    auto& pool = pool_of(ex.service);
    // The results of the stages were made near this engine, which also holds the shared parts of
    // the prompt, so the others in its failure domain read both without a transfer between domains.
    const auto affinity = pool.affinity_member(prefix_of(ex), allowed_instances(ex));
    ex.reading_choice = pool.preview(routing, allowed_instances(ex),
                                     affinity ? std::string_view{affinity->identity.failure_domain}
                                              : std::string_view{});
    const auto& member = ex.reading_choice.member;
    if (!member) {
        return false;
    }
    m_reading_questions.erase(ex.reading_number);
    ex.reading_number = m_next_question++;
    m_reading_questions[ex.reading_number] = ex.id;
    ex.reading->asked(ex.reading_number, member->identity.id);
    if (!m_peers.send(reading_request{"", ex.reading_number, member->identity.id,
                                      instances::reading_time(ex.request.prompt_tokens)})) {
        return false;
    }
    ex.reading_end = reading_ended{"", ex.reading_number, member->identity.id};
    return true;
}

void forwarder::apply_reading_step(exchange& ex, instances::reading_step step) {
    if (step == instances::reading_step::none ||
        (step == instances::reading_step::ask && ask_for_reading(ex))) {
        return;
    }
    const auto search = *ex.reading;
    end_reading_search(ex);
    auto choice = std::exchange(ex.reading_choice, {});
    auto& member = choice.member;
    member = nullptr;
    if (step == instances::reading_step::send_there) {
        member = pool_of(ex.service)
                     .take(search.engine(), common::monotonic_clock::now(), prefix_of(ex));
    }
    if (member && !allowed_instances(ex).allows(member->identity)) {
        // It is another incarnation by now.
        member = nullptr;
    }
    m_metrics.record_reading_search(member != nullptr);
    m_log.info("Looked for an engine.", {{"attempt", ex.request.attempt_id},
                                         {"upstream", search.engine()},
                                         {"granted", member ? "yes" : "no"},
                                         {"refused", std::to_string(search.refused().size())}});
    if (member) {
        send_to(ex, choice);
        return;
    }
    // The owner may have granted a reading that does not take place.
    end_reading(ex);
    send_anywhere(ex, search.refused());
}

void forwarder::end_reading_search(exchange& ex) {
    m_reading_questions.erase(ex.reading_number);
    ex.reading_timer.reset();
    ex.reading.reset();
}

void forwarder::end_reading(exchange& ex) {
    if (const auto ended = std::exchange(ex.reading_end, {})) {
        m_peers.send(*ended);
    }
}

} // namespace jujubemast::gateway::requests
