#include "entry/coordinator.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "entry/response_document.h"
#include "http/event_stream.h"

namespace jujubemast::entry {

coordinator::coordinator(runtime::task_context context,
                         std::shared_ptr<runtime::mailbox<coordinator_message>> inbox,
                         runtime::address<links_message> links,
                         runtime::address<claims_message> claims, std::string failure_domain,
                         coordinator_hooks hooks, coordinator_limits limits)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_links{std::move(links)},
      m_claims{std::move(claims)}, m_failure_domain{std::move(failure_domain)},
      m_hooks{std::move(hooks)}, m_limits{limits}, m_upstreams{{}, m_hooks.route} {}

void coordinator::start() {
    m_inbox.receive(m_context.wrap([this](coordinator_message message) {
        std::visit([this](auto&& it) { handle(std::forward<decltype(it)>(it)); },
                   std::move(message));
    }));
}

void coordinator::stop(const runtime::stop_done& done) {
    // The listener stops before this task, so the only requests left are those whose callers have
    // disconnected.
    if (m_requests.empty()) {
        done();
        return;
    }
    m_stop_done = done;
}

void coordinator::close() noexcept {
    m_inbox.close();
    m_requests.clear();
}

void coordinator::handle(submit message) {
    if (m_requests.size() >= m_limits.max_requests) {
        refuse(message.reply, {problem_kind::overloaded, common::execution::not_run,
                               "too many requests are in progress at this instance", 1});
        return;
    }
    if (!m_configuration) {
        refuse(message.reply, {problem_kind::unavailable, common::execution::not_run,
                               "no configuration is known yet", 1});
        return;
    }
    const auto* workspace = m_configuration->authenticate(message.request.key);
    if (workspace == nullptr) {
        refuse(message.reply, {problem_kind::not_authenticated, common::execution::not_run,
                               "the key belongs to no workspace"});
        return;
    }
    const auto pipeline = m_configuration->pipelines.find(message.request.pipeline);
    if (pipeline == m_configuration->pipelines.end()) {
        refuse(message.reply, {problem_kind::unknown_pipeline, common::execution::not_run,
                               "there is no pipeline " + message.request.pipeline});
        return;
    }
    begin_request(std::move(message), *workspace, pipeline->second);
}

void coordinator::begin_request(submit message, const tickets::workspace_settings& workspace,
                                const tickets::pipeline_settings& pipeline) {
    auto& request = message.request;
    const auto now = m_hooks.clock();
    request_plan plan;
    // The caller's identifier is kept as a prefix, and the random part keeps identities unique.
    plan.request_id = common::random_identifier(m_hooks.random);
    if (!request.request_id.empty()) {
        plan.request_id = request.request_id + "." + plan.request_id;
    }
    plan.workspace = workspace.name;
    plan.pipeline = pipeline;
    plan.priority = std::max(pipeline.priority, request.priority.value_or(pipeline.priority));
    plan.deadline = now + std::min<common::duration>(pipeline.deadline,
                                                     request.timeout.value_or(pipeline.deadline));
    plan.input = std::move(request.input);
    plan.max_tokens = request.max_tokens;
    plan.stream = request.stream;
    plan.trace_parent = std::move(request.trace_parent);

    const auto id = message.id;
    m_id_by_request.emplace(plan.request_id, id);
    const auto remaining = plan.deadline - now;
    auto [it, added] =
        m_requests.emplace(id, active_request{request_flow{std::move(plan), make_retry_hook()},
                                              std::move(message.reply),
                                              std::make_unique<runtime::timer>(m_context.loop()),
                                              std::make_unique<runtime::timer>(m_context.loop())});
    it->second.deadline_timer->start(remaining, m_context.wrap([this, id] {
        if (const auto position = m_requests.find(id); position != m_requests.end()) {
            record_unresponsive_attempts(position->second.flow);
            perform(id, position->second.flow.deadline_passed());
        }
    }));
    if (pipeline.idempotent() || request.idempotency_key.empty()) {
        start_flow(id, it->second);
    } else {
        request_claim(id, it->second, request.idempotency_key);
    }
}

void coordinator::start_flow(std::uint64_t id, active_request& request) {
    perform(id, request.flow.begin(m_hooks.clock()));
}

void coordinator::refuse(const http::responder& reply, const problem& content) {
    ++m_failed;
    m_metrics.refused(content);
    reply.respond(to_response(content));
}

void coordinator::handle(const caller_disconnected& message) {
    const auto it = m_requests.find(message.id);
    if (it == m_requests.end()) {
        return;
    }
    switch (it->second.claim) {
    case claim_progress::granted:
    case claim_progress::closing:
        // The request continues, so that a repeat receives its outcome.
        return;
    case claim_progress::waiting:
        m_claims.send(close_claim{message.id, std::nullopt});
        break;
    case claim_progress::none:
        break;
    }
    perform(message.id, it->second.flow.caller_disconnected());
}

void coordinator::handle(const configuration_changed& message) {
    m_configuration = message.current;
    m_links.send(announce_revision{message.current->revision});
}

void coordinator::handle(const work_message& message) {
    const auto identity = protocol::identity_of(message.content);
    const auto position = m_id_by_request.find(identity.request_id);
    const bool current = position != m_id_by_request.end() &&
                         m_requests.at(position->second).flow.is_current(identity);
    const bool refused = std::holds_alternative<protocol::refusal>(message.content);
    if (refused || (!current && std::holds_alternative<protocol::result_end>(message.content))) {
        // No further message about this work is needed. The acknowledgement stops the sidecar from
        // resending its outcome.
        m_links.send(send_work{message.instance, protocol::acknowledge{identity}});
    }
    if (!current) {
        return;
    }
    const auto id = position->second;
    auto& flow = m_requests.at(id).flow;
    const auto now = m_hooks.clock();
    record_attempt_progress(flow, message);
    if (const auto* chunk = std::get_if<protocol::result_chunk>(&message.content)) {
        perform(id, flow.chunk_received(*chunk, now));
    } else if (const auto* end = std::get_if<protocol::result_end>(&message.content)) {
        perform(id, flow.end_received(*end, now));
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message.content)) {
        perform(id, flow.refusal_received(*refusal, now));
    }
}

void coordinator::handle(const link_status& message) {
    const auto change = m_upstreams.update(message, m_hooks.clock());
    if (change == link_change::lost) {
        fail_attempts_on(message.instance.name);
    } else if (change == link_change::reconnected) {
        refetch_results_from(message.instance.name);
    }
}

void coordinator::handle(const link_removed& message) {
    m_upstreams.remove(message.instance);
    fail_attempts_on(message.instance);
}

void coordinator::handle(const work_not_sent& message) {
    const auto position = m_id_by_request.find(message.identity.request_id);
    if (position == m_id_by_request.end()) {
        return;
    }
    const auto id = position->second;
    perform(id, m_requests.at(id).flow.refusal_received(
                    {message.identity, protocol::refusal_reason::draining,
                     common::execution::not_run, 0, "the link to the upstream is down"},
                    m_hooks.clock()));
}

void coordinator::handle(const admin::metrics_query& message) {
    admin::respond_with_metrics(message, m_metrics.text(m_requests.size()));
}

std::vector<std::uint64_t> coordinator::requests_on(const std::string& instance) const {
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : m_requests) {
        if (request.flow.is_assigned_to(instance)) {
            affected.push_back(id);
        }
    }
    return affected;
}

void coordinator::refetch_results_from(const std::string& instance) {
    for (const auto id : requests_on(instance)) {
        if (const auto it = m_requests.find(id); it != m_requests.end()) {
            perform(id, it->second.flow.link_reconnected(instance));
        }
    }
}

void coordinator::fail_attempts_on(const std::string& instance) {
    for (const auto id : requests_on(instance)) {
        if (const auto it = m_requests.find(id); it != m_requests.end()) {
            perform(id, it->second.flow.link_lost(instance, m_hooks.clock()));
        }
    }
}

void coordinator::perform(std::uint64_t id, const flow_actions& actions) {
    auto& request = m_requests.at(id);
    for (const auto& action : actions) {
        std::visit([&](const auto& it) { perform_one(id, request, it); }, action);
        if (!m_requests.contains(id)) {
            return;
        }
    }
    remove_if_finished(id);
}

void coordinator::perform_one(std::uint64_t /*id*/, active_request& /*request*/,
                              const send_to_upstream& action) {
    m_links.send(send_work{action.instance, action.content});
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const wait_for_upstream& action) {
    request.attempt_timer->start(action.delay, m_context.wrap([this, id] {
        if (const auto it = m_requests.find(id); it != m_requests.end()) {
            perform(id, it->second.flow.retry_dispatch());
        }
    }));
}

void coordinator::begin_stream(active_request& request) {
    if (std::exchange(request.stream_begun, true)) {
        return;
    }
    request.reply.begin(
        {200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}}, {}});
}

void coordinator::perform_one(std::uint64_t /*id*/, active_request& request,
                              const deliver_chunk& action) {
    begin_stream(request);
    request.reply.write(http::encode_event("token", to_document(action)));
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const deliver_response& action) {
    ++m_answered;
    m_metrics.answered(request.flow.plan().priority, action.stages);
    finish(id, request,
           http::json_response(200, to_document(request.flow.plan().request_id, action)),
           common::execution::ran);
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const deliver_problem& action) {
    ++m_failed;
    m_metrics.failed(request.flow.plan().priority, action.content);
    m_log.info("Request failed.",
               {{"request", request.flow.plan().request_id},
                {"problem", std::string{common::to_name(action.content.kind)}},
                {"execution", std::string{common::to_name(action.content.execution)}},
                {"detail", action.content.detail}});
    finish(id, request, to_response(action.content), action.content.execution);
}

void coordinator::send_response(active_request& request, http::response response) {
    const bool complete = response.status == 200;
    if (!request.stream_begun && !(complete && request.flow.plan().stream)) {
        request.reply.respond(std::move(response));
        return;
    }
    begin_stream(request);
    request.reply.write(http::encode_event(complete ? "done" : "error", response.body));
    if (complete) {
        request.reply.end();
    } else {
        // Without the end of the body, the caller's HTTP library also reports an incomplete
        // response.
        request.reply.abort();
    }
}

void coordinator::remove_if_finished(std::uint64_t id) {
    const auto it = m_requests.find(id);
    if (it != m_requests.end() && it->second.flow.finished() &&
        it->second.claim != claim_progress::closing) {
        remove(id);
    }
}

void coordinator::remove(std::uint64_t id) {
    const auto it = m_requests.find(id);
    m_id_by_request.erase(it->second.flow.plan().request_id);
    m_requests.erase(it);
    if (m_requests.empty()) {
        if (auto done = std::exchange(m_stop_done, nullptr)) {
            done();
        }
    }
}

boost::json::value coordinator::dump() const {
    return boost::json::object{{"revision", m_configuration ? m_configuration->revision : 0},
                               {"requests", m_requests.size()},
                               {"answered", m_answered},
                               {"failed", m_failed},
                               {"repeated", m_repeated},
                               {"rejected_messages", m_inbox.rejected()},
                               {"hedges", m_hedges},
                               {"upstreams", m_upstreams.dump()}};
}

} // namespace jujubemast::entry
