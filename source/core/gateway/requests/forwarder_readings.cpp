#include <algorithm>
#include <utility>

#include "gateway/requests/forwarder.h"

// Finds an engine for a long prompt that reads no other one, together with the gateways that own
// the engines.

namespace jujubemast::gateway::requests {

void forwarder::handle(const reading_request& message) {
    const auto now = common::monotonic_clock::now();
    m_peers.send(reading_response{message.origin, message.number,
                                  m_readings.request(message.engine, message.reading, now)});
}

void forwarder::handle(const reading_response& message) {
    const auto question = m_reading_questions.find(message.number);
    if (question == m_reading_questions.end()) {
        // The search has ended. The grant ends by itself.
        return;
    }
    auto& ex = *find(question->second);
    apply_reading_step(
        ex, ex.reading->answered(message.number, message.granted, common::monotonic_clock::now()));
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
    ex.reading_choice = pool_of(ex.service).preview(routing, ex.regions);
    const auto& member = ex.reading_choice.member;
    if (!member) {
        return false;
    }
    m_reading_questions.erase(ex.reading_number);
    ex.reading_number = m_next_question++;
    m_reading_questions[ex.reading_number] = ex.id;
    ex.reading->asked(ex.reading_number, member->identity.id);
    return m_peers.send(reading_request{"", ex.reading_number, member->identity.id,
                                        instances::reading_time(ex.request.prompt_tokens)});
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
    m_metrics.record_reading_search(member != nullptr);
    m_log.info("Looked for an engine.", {{"attempt", ex.request.attempt_id},
                                         {"upstream", search.engine()},
                                         {"granted", member ? "yes" : "no"},
                                         {"refused", std::to_string(search.refused().size())}});
    if (member) {
        send_to(ex, choice);
    } else {
        send_anywhere(ex, search.refused());
    }
}

void forwarder::end_reading_search(exchange& ex) {
    m_reading_questions.erase(ex.reading_number);
    ex.reading_timer.reset();
    ex.reading.reset();
}

} // namespace jujubemast::gateway::requests
