#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"
#include "policy/shared_limit.h"

// Finds the parts of prompts that crash instances, together with the other gateways, and refuses
// requests with such parts.

namespace jujubemast::gateway::requests {

namespace {

// An instance that crashes breaks all its requests at once. Their evidence goes out in one message.
constexpr common::duration evidence_delay = std::chrono::milliseconds{20};

std::string in_ms(common::duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string describe_instances(const std::vector<incarnation>& instances) {
    std::string text;
    for (const auto& it : instances) {
        text += text.empty() ? "" : ",";
        text += it.id;
    }
    return text;
}

} // namespace

std::vector<prompt_part_id> forwarder::quarantined_parts(const exchange& ex,
                                                         common::time_point now) {
    std::vector<prompt_part_id> result;
    std::copy_if(ex.shared_parts.begin(), ex.shared_parts.end(), std::back_inserter(result),
                 [&](prompt_part_id part) { return m_suspects.quarantine_left({part}, now); });
    return result;
}

bool forwarder::refuse_if_quarantined(exchange& ex) {
    if (m_suspects.empty()) {
        return false;
    }
    const auto now = common::monotonic_clock::now();
    const auto rank = [this](prompt_part_id part) {
        return policy::find_share(to_text({part}), m_options.name, m_gateways).rank;
    };
    const auto left = m_suspects.quarantine_left(ex.shared_parts, now);
    if (!left || m_suspects.may_try(ex.shared_parts, rank, now)) {
        return false;
    }
    m_metrics.record_quarantine_refusal();
    refuse(ex, status_unavailable,
           "instances crash on a part of the prompt: " + to_text(quarantined_parts(ex, now)),
           std::max<common::duration>(*left, m_suspects.limits().trial_step));
    return true;
}

void forwarder::announce_trial(const exchange& ex) {
    const auto now = common::monotonic_clock::now();
    crash_evidence evidence;
    for (const auto part : quarantined_parts(ex, now)) {
        evidence.trials.push_back({part, now});
    }
    if (evidence.empty()) {
        return;
    }
    m_log.warn("Request tries a quarantined part of its prompt.",
               {{"attempt", ex.request.attempt_id}, {"parts", to_text(ex.shared_parts)}});
    share_evidence(evidence);
    send_evidence();
}

evidence::attempt_outcome forwarder::outcome_of(const exchange& ex) const {
    const auto phase = ex.attempt->member()->state.phase();
    evidence::attempt_outcome outcome;
    outcome.instance_stops =
        phase == instances::instance_phase::draining || phase == instances::instance_phase::gone;
    if (ex.writing_since) {
        outcome.writing = common::monotonic_clock::now() - *ex.writing_since;
    }
    return outcome;
}

void forwarder::record_possible_crash(const exchange& ex, const attempt_failure& failure) {
    if (ex.attempt->response().head.status != 0) {
        record_alive(ex);
    }
    auto outcome = outcome_of(ex);
    outcome.connection_ended = failure.connection_lost;
    outcome.certainly_not_run = is_certainly_not_run(failure.end);
    apply_finding(ex, judge_attempt(outcome, m_suspects.limits().sound_time));
}

void forwarder::record_answer(const exchange& ex, const attempt_response& response) {
    auto outcome = outcome_of(ex);
    // A resumed stream may need no more than its end.
    outcome.answered = ex.writing_since || !ex.relaying;
    outcome.connection_ended = response.ended_with_connection;
    apply_finding(ex, judge_attempt(outcome, m_suspects.limits().sound_time));
}

void forwarder::apply_finding(const exchange& ex, evidence::part_finding finding) {
    switch (finding) {
    case evidence::part_finding::none:
        return;
    case evidence::part_finding::suspect: {
        if (ex.shared_parts.empty()) {
            return;
        }
        crash_evidence evidence;
        evidence.crashes.push_back({incarnation_of(ex.attempt->member()->identity), ex.shared_parts,
                                    common::monotonic_clock::now()});
        share_evidence(evidence);
        return;
    }
    case evidence::part_finding::sound:
        record_sound_answer(ex, ex.writing_since.value_or(ex.attempt->sent_at()));
        return;
    }
}

void forwarder::record_sound_answer(const exchange& ex, common::time_point began) {
    if (m_suspects.empty()) {
        return;
    }
    crash_evidence evidence;
    for (const auto part : ex.shared_parts) {
        if (m_suspects.is_suspected(part, began)) {
            evidence.sound.push_back({part, began});
        }
    }
    share_evidence(evidence);
}

void forwarder::record_alive(const exchange& ex) {
    if (m_suspects.empty()) {
        return;
    }
    const auto instance = incarnation_of(ex.attempt->member()->identity);
    if (m_suspects.is_wrongly_accused(instance, ex.attempt->sent_at())) {
        crash_evidence evidence;
        evidence.alive.push_back({instance, ex.attempt->sent_at()});
        share_evidence(evidence);
    }
}

void forwarder::share_evidence(const crash_evidence& evidence) {
    if (evidence.empty()) {
        return;
    }
    const bool is_first = m_unsent_evidence.empty();
    m_unsent_evidence.add(evidence);
    m_suspects.apply(evidence, common::monotonic_clock::now());
    if (is_first) {
        m_evidence_timer.start(evidence_delay, m_context.wrap([this] { send_evidence(); }));
    }
}

void forwarder::send_evidence() {
    m_evidence_timer.cancel();
    if (!m_unsent_evidence.empty()) {
        m_peers.send(std::exchange(m_unsent_evidence, {}));
    }
}

void forwarder::handle(const crash_evidence& message) {
    m_suspects.apply(message, common::monotonic_clock::now());
}

void forwarder::handle(const gateway_live& message) {
    auto evidence = m_suspects.snapshot(common::monotonic_clock::now());
    if (!evidence.empty()) {
        evidence.receiver = message.name;
        m_peers.send(std::move(evidence));
    }
}

void forwarder::log_suspect(const evidence::suspect_view& part) const {
    const logging::fields values{{"part", to_text({part.part})},
                                 {"change", std::string{common::to_name(part.change)}},
                                 {"incidents", std::to_string(part.incidents)},
                                 {"instances", describe_instances(part.instances)},
                                 {"first_crash_ms", in_ms(part.first_crash_age)},
                                 {"trial_in_ms", in_ms(part.trial_in)}};
    if (part.change == evidence::suspect_change::suspected) {
        m_log.info("Suspicion of a prompt part changed.", values);
    } else {
        m_log.warn("Suspicion of a prompt part changed.", values);
    }
}

boost::json::array forwarder::dump_quarantined() const {
    boost::json::array parts;
    for (const auto& it : m_suspects.quarantined(common::monotonic_clock::now())) {
        parts.emplace_back(
            boost::json::object{{"part", to_text({it.part})},
                                {"incidents", it.incidents},
                                {"instances", describe_instances(it.instances)},
                                {"trial_in_ms", common::to_milliseconds(it.trial_in)}});
    }
    return parts;
}

} // namespace jujubemast::gateway::requests
