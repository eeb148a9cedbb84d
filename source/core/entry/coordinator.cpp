#include "entry/coordinator.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "entry/answer.h"
#include "http/event_stream.h"

namespace jujubemast::entry {

namespace {

constexpr common::duration retry_base_delay = std::chrono::milliseconds{10};

// Prompts that agree in this many bytes are sent to the same engine.
constexpr std::size_t prefix_bytes = 64;

protocol::work_identity identity_of(const protocol::message& message) {
    return std::visit(
        [](const auto& it) -> protocol::work_identity {
            if constexpr (requires { it.identity; }) {
                return it.identity;
            } else {
                return {};
            }
        },
        message);
}

} // namespace

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
    // The listener stops before this task, so no request is left unless its caller has gone.
    if (m_requests.empty()) {
        done();
        return;
    }
    m_done = done;
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
    // The caller's own identifier stays visible, and the random part keeps identities unique.
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
    m_ids.emplace(plan.request_id, id);
    const auto remaining = plan.deadline - now;
    auto [it, added] =
        m_requests.emplace(id, active_request{request_flow{std::move(plan), make_retry_hook()},
                                              std::move(message.reply),
                                              std::make_unique<runtime::timer>(m_context.loop()),
                                              std::make_unique<runtime::timer>(m_context.loop())});
    it->second.deadline_timer->start(remaining, m_context.wrap([this, id] {
        if (const auto position = m_requests.find(id); position != m_requests.end()) {
            record_silent_attempts(position->second.flow);
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
    case claim_use::granted:
    case claim_use::closing:
        // The work goes on, so that a repeat of the request gets its outcome.
        return;
    case claim_use::waiting:
        m_claims.send(close_claim{message.id, std::nullopt});
        break;
    case claim_use::none:
        break;
    }
    perform(message.id, it->second.flow.caller_gone());
}

void coordinator::handle(const configuration_changed& message) {
    m_configuration = message.current;
    m_links.send(announce_revision{message.current->revision});
}

void coordinator::handle(const work_message& message) {
    const auto identity = identity_of(message.content);
    const auto position = m_ids.find(identity.request_id);
    const bool current =
        position != m_ids.end() && m_requests.at(position->second).flow.is_current(identity);
    const bool refused = std::holds_alternative<protocol::refusal>(message.content);
    if (refused || (!current && std::holds_alternative<protocol::result_end>(message.content))) {
        // Nothing more is needed of this work, so the sidecar need not send its outcome again.
        m_links.send(send_work{message.instance, protocol::acknowledge{identity}});
    }
    if (!current) {
        return;
    }
    const auto id = position->second;
    auto& flow = m_requests.at(id).flow;
    const auto now = m_hooks.clock();
    observe(flow, message);
    if (const auto* chunk = std::get_if<protocol::result_chunk>(&message.content)) {
        perform(id, flow.chunk_received(*chunk, now));
    } else if (const auto* end = std::get_if<protocol::result_end>(&message.content)) {
        perform(id, flow.end_received(*end, now));
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message.content)) {
        perform(id, flow.refusal_received(*refusal, now));
    }
}

void coordinator::observe(const request_flow& flow, const work_message& message) {
    const auto identity = identity_of(message.content);
    const auto& attempts = flow.attempts();
    const auto it = std::find_if(attempts.begin(), attempts.end(), [&](const auto& attempt) {
        return attempt.attempt == identity.attempt && attempt.incarnation == identity.incarnation;
    });
    if (identity.stage != flow.stage_index() || it == attempts.end()) {
        return;
    }
    const auto now = m_hooks.clock();
    const auto& pipeline = flow.plan().pipeline;
    const auto& pool = pipeline.stages[identity.stage].pool;
    if (std::holds_alternative<protocol::result_chunk>(message.content) && !flow.responded()) {
        m_timing.record_response(pipeline.name, identity.stage, now - it->sent_at);
        for (const auto& other : attempts) {
            if (other.sent_at < it->sent_at) {
                // A later attempt has overtaken this one.
                m_timing.record_response(pipeline.name, identity.stage, now - other.sent_at);
                m_upstreams.record_failure(pool, other.instance, now);
            }
        }
    } else if (const auto* end = std::get_if<protocol::result_end>(&message.content)) {
        const std::chrono::microseconds service{end->service_us};
        const auto parts = std::max<std::int64_t>(1, end->chunk_count);
        m_timing.record_service(pipeline.name, identity.stage, service);
        m_upstreams.record_success(pool, it->instance, service / parts, now);
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message.content)) {
        if (refusal->reason == protocol::refusal_reason::upstream_failed) {
            m_upstreams.record_failure(pool, it->instance, now);
        }
    }
}

void coordinator::record_silent_attempts(const request_flow& flow) {
    if (flow.finished() || flow.responded()) {
        return;
    }
    for (const auto& it : flow.attempts()) {
        m_upstreams.record_failure(flow.plan().pipeline.stages[flow.stage_index()].pool,
                                   it.instance, m_hooks.clock());
    }
}

void coordinator::handle(const link_status& message) {
    const auto change = m_upstreams.update(message, m_hooks.clock());
    if (change == link_change::lost) {
        fail_work_on(message.instance.name);
    } else if (change == link_change::reconnected) {
        ask_for_work_on(message.instance.name);
    }
}

void coordinator::handle(const link_removed& message) {
    m_upstreams.remove(message.instance);
    fail_work_on(message.instance);
}

void coordinator::handle(const work_not_sent& message) {
    const auto position = m_ids.find(message.identity.request_id);
    if (position == m_ids.end()) {
        return;
    }
    const auto id = position->second;
    perform(id, m_requests.at(id).flow.refusal_received(
                    {message.identity, protocol::refusal_reason::draining,
                     common::execution::not_run, 0, "the link to the upstream is down"},
                    m_hooks.clock()));
}

void coordinator::handle(const admin::metrics_query& message) {
    admin::answer(message, m_metrics.text(m_requests.size()));
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

void coordinator::ask_for_work_on(const std::string& instance) {
    for (const auto id : requests_on(instance)) {
        if (const auto it = m_requests.find(id); it != m_requests.end()) {
            perform(id, it->second.flow.link_reconnected(instance));
        }
    }
}

void coordinator::fail_work_on(const std::string& instance) {
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

retry_hook coordinator::make_retry_hook() {
    if (!m_hooks.budget_retries) {
        return m_hooks.may_retry;
    }
    return [this](const retry_question& question) -> std::optional<common::duration> {
        const auto allowed = m_hooks.may_retry(question);
        if (!allowed || !m_upstreams.take_retry(question.stage.pool, question.now)) {
            return std::nullopt;
        }
        constexpr double random_range = 1 << 20;
        const auto random =
            static_cast<double>(common::uniform_below(m_hooks.random, 1U << 20U)) / random_range;
        return policy::retry_backoff(retry_base_delay, question.attempts - 1, random);
    };
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const dispatch_stage& action) {
    if (action.delay > common::duration::zero()) {
        dispatch_later(id, request, action);
    } else {
        dispatch_now(id, request, action);
    }
}

void coordinator::dispatch_later(std::uint64_t id, active_request& request,
                                 const dispatch_stage& action) {
    request.attempt_timer->start(action.delay, m_context.wrap([this, id, action] {
        const auto it = m_requests.find(id);
        if (it != m_requests.end() && !it->second.flow.finished()) {
            dispatch_now(id, it->second, action);
            remove_if_finished(id);
        }
    }));
}

void coordinator::dispatch_now(std::uint64_t id, active_request& request,
                               const dispatch_stage& action) {
    auto& flow = request.flow;
    const auto now = m_hooks.clock();
    const auto& plan = flow.plan();
    const auto& stage = plan.pipeline.stages[action.stage];
    // Only engines keep prefixes in a cache, and only their stages name a model.
    const auto prefix =
        stage.model.empty() ? 0 : common::digest_of(plan.input.substr(0, prefix_bytes));
    const auto* status =
        m_upstreams.choose(stage, {plan.priority, m_failure_domain, action.excluded, prefix, now});
    if (status == nullptr) {
        perform(id, flow.stage_not_dispatched(now));
        return;
    }
    if (action.attempt == 0) {
        m_upstreams.record_first_attempt(stage.pool);
    }
    protocol::dispatch message;
    message.identity = {plan.request_id, action.stage, action.attempt, status->incarnation};
    message.deadline_us = common::to_microseconds(plan.deadline) + status->clock_offset_us;
    message.revision = m_configuration->revision;
    message.workspace = plan.workspace;
    message.priority = plan.priority;
    message.idempotent = stage.idempotent;
    message.operation = stage.operation;
    message.model = stage.model;
    message.body = action.body;
    message.resume_offset = action.resume_offset;
    // Only stages that name a model generate tokens.
    message.max_output_tokens = stage.model.empty() ? 0 : plan.max_tokens;
    message.reserve_us =
        std::chrono::duration_cast<std::chrono::microseconds>(reserve_after(plan, action.stage))
            .count();
    message.trace_parent = plan.trace_parent;
    const auto instance = status->instance.name;
    flow.stage_dispatched(
        {action.attempt, instance, status->incarnation, now, message.deadline_us});
    schedule_hedge(id, request);
    if (!m_links.send(send_work{instance, message})) {
        handle(work_not_sent{instance, message.identity});
    }
}

common::duration coordinator::reserve_after(const request_plan& plan, std::size_t stage) const {
    auto reserve = common::duration::zero();
    for (auto n = stage + 1; n < plan.pipeline.stages.size(); ++n) {
        reserve += m_timing.expected_service(plan.pipeline.name, n) +
                   m_upstreams.expected_wait(plan.pipeline.stages[n].pool, plan.priority);
    }
    return reserve;
}

void coordinator::schedule_hedge(std::uint64_t id, active_request& request) {
    const auto stage = request.flow.stage_index();
    const auto pool = request.flow.plan().pipeline.stages[stage].pool;
    const auto delay = m_timing.hedge_delay(request.flow.plan().pipeline.name, stage);
    if (!m_hooks.hedge || !delay || !request.flow.may_hedge()) {
        return;
    }
    request.attempt_timer->start(*delay, m_context.wrap([this, id, stage, pool] {
        const auto it = m_requests.find(id);
        if (it == m_requests.end() || it->second.flow.stage_index() != stage ||
            !it->second.flow.may_hedge() || !m_upstreams.take_hedge(pool, m_hooks.clock())) {
            return;
        }
        ++m_hedges;
        perform(id, it->second.flow.hedge());
    }));
}

void coordinator::perform_one(std::uint64_t /*id*/, active_request& /*request*/,
                              const send_to_upstream& action) {
    m_links.send(send_work{action.instance, action.content});
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const wait_for_upstream& action) {
    request.attempt_timer->start(action.delay, m_context.wrap([this, id] {
        if (const auto it = m_requests.find(id); it != m_requests.end()) {
            perform(id, it->second.flow.try_again());
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
                              const deliver_piece& action) {
    begin_stream(request);
    request.reply.write(http::encode_event("token", to_document(action)));
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const deliver_answer& action) {
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

void coordinator::send_answer(active_request& request, http::response answer) {
    const bool complete = answer.status == 200;
    if (!request.stream_begun && !(complete && request.flow.plan().stream)) {
        request.reply.respond(std::move(answer));
        return;
    }
    begin_stream(request);
    request.reply.write(http::encode_event(complete ? "done" : "error", answer.body));
    if (complete) {
        request.reply.end();
    } else {
        // Without the end of the body the caller's HTTP library reports an incomplete answer, too.
        request.reply.abort();
    }
}

void coordinator::remove_if_finished(std::uint64_t id) {
    const auto it = m_requests.find(id);
    if (it != m_requests.end() && it->second.flow.finished() &&
        it->second.claim != claim_use::closing) {
        remove(id);
    }
}

void coordinator::remove(std::uint64_t id) {
    const auto it = m_requests.find(id);
    m_ids.erase(it->second.flow.plan().request_id);
    m_requests.erase(it);
    if (m_requests.empty()) {
        if (auto done = std::exchange(m_done, nullptr)) {
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
