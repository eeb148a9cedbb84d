#include <optional>
#include <string>
#include <utility>

#include "common/digest.h"
#include "entry/coordinator.h"

// The part of the coordinator that handles idempotency claims.

namespace jujubemast::entry {

namespace {

/// Returns the digest of the fields in which a request and its repeats must agree. The form of
/// delivery is not included, so a repeat may ask for a complete response instead of a stream.
std::string digest_of_request(const request_plan& plan) {
    return common::sha256_hex(plan.pipeline.name + '\n' + std::to_string(plan.max_tokens) + '\n' +
                              plan.input);
}

/// Returns the outcome to record, or nullopt if the request has not run.
std::optional<stored_outcome> outcome_of(const http::response& response,
                                         common::execution execution, std::size_t max_bytes) {
    stored_outcome outcome{claim_state::done, response.status, {}};
    switch (execution) {
    case common::execution::not_run:
        return std::nullopt;
    case common::execution::unknown:
        outcome.state = claim_state::unknown;
        break;
    case common::execution::ran:
        outcome.state = response.status == 200 ? claim_state::done : claim_state::failed;
        break;
    }
    if (response.body.size() <= max_bytes) {
        outcome.document = response.body;
    }
    return outcome;
}

} // namespace

void coordinator::request_claim(std::uint64_t id, active_request& request, const std::string& key) {
    request.claim = claim_progress::waiting;
    const auto& plan = request.flow.plan();
    if (!m_claims.send(
            claim_request{id, plan.workspace, key, digest_of_request(plan), plan.deadline})) {
        refuse(request.reply, {problem_kind::overloaded, common::execution::not_run,
                               "too many claims wait at this instance", 1, plan.request_id});
        remove(id);
    }
}

void coordinator::handle(const claim_granted& message) {
    const auto it = m_requests.find(message.id);
    if (it == m_requests.end() || it->second.claim != claim_progress::waiting) {
        m_claims.send(close_claim{message.id, std::nullopt});
        return;
    }
    auto& request = it->second;
    request.claim = claim_progress::granted;
    if (m_hooks.clock() >= request.flow.plan().deadline) {
        perform(message.id, request.flow.deadline_passed());
        return;
    }
    start_flow(message.id, request);
}

void coordinator::handle(const claim_denied& message) {
    const auto it = m_requests.find(message.id);
    if (it == m_requests.end() || it->second.claim != claim_progress::waiting) {
        return;
    }
    auto& request = it->second;
    if (const auto* content = std::get_if<problem>(&message.content)) {
        auto error = *content;
        error.request_id = request.flow.plan().request_id;
        refuse(request.reply, error);
    } else {
        replay_outcome(request, std::get<stored_outcome>(message.content));
    }
    remove(message.id);
}

void coordinator::replay_outcome(active_request& request, const stored_outcome& outcome) {
    if (outcome.document.empty()) {
        refuse(request.reply,
               {problem_kind::unknown_outcome, common::execution::ran,
                "the first request has ended, but its answer was too large to be kept", 0,
                request.flow.plan().request_id});
        return;
    }
    ++m_repeated;
    const bool complete = outcome.state == claim_state::done;
    send_response(request,
                  {outcome.status,
                   {{"Content-Type", complete ? "application/json" : "application/problem+json"}},
                   outcome.document});
}

void coordinator::finish(std::uint64_t id, active_request& request, http::response response,
                         common::execution execution) {
    if (request.claim == claim_progress::granted) {
        request.claim = claim_progress::closing;
        if (m_claims.send(
                close_claim{id, outcome_of(response, execution, m_limits.max_outcome_bytes)})) {
            request.pending_response = std::move(response);
            return;
        }
        request.claim = claim_progress::none;
    } else if (request.claim == claim_progress::waiting) {
        m_claims.send(close_claim{id, std::nullopt});
    }
    send_response(request, std::move(response));
}

void coordinator::handle(const claim_closed& message) {
    const auto it = m_requests.find(message.id);
    if (it == m_requests.end() || it->second.claim != claim_progress::closing) {
        return;
    }
    if (!message.recorded) {
        m_log.warn("The outcome of a claimed request is not recorded yet.",
                   {{"request", it->second.flow.plan().request_id}});
    }
    it->second.claim = claim_progress::none;
    send_response(it->second, std::move(it->second.pending_response));
    remove_if_finished(message.id);
}

} // namespace jujubemast::entry
