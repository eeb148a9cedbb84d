#include "entry/coordinator.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/digest.h"
#include "entry/answer.h"
#include "http/event_stream.h"

namespace jujubemast::entry {

namespace {

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
                         runtime::address<links_message> links, std::string failure_domain,
                         coordinator_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_links{std::move(links)},
      m_failure_domain{std::move(failure_domain)}, m_hooks{std::move(hooks)} {}

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
        m_requests.emplace(id, active_request{request_flow{std::move(plan), m_hooks.may_retry},
                                              std::move(message.reply),
                                              std::make_unique<runtime::timer>(m_context.loop())});
    it->second.deadline_timer->start(remaining, m_context.wrap([this, id] {
        if (const auto position = m_requests.find(id); position != m_requests.end()) {
            perform(id, position->second.flow.deadline_passed());
        }
    }));
    perform(id, it->second.flow.begin(now));
}

void coordinator::refuse(const http::responder& reply, const problem& content) {
    ++m_failed;
    reply.respond(to_response(content));
}

void coordinator::handle(const caller_disconnected& message) {
    if (const auto it = m_requests.find(message.id); it != m_requests.end()) {
        perform(message.id, it->second.flow.caller_gone());
    }
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
    if (const auto* chunk = std::get_if<protocol::result_chunk>(&message.content)) {
        perform(id, flow.chunk_received(*chunk, now));
    } else if (const auto* end = std::get_if<protocol::result_end>(&message.content)) {
        perform(id, flow.end_received(*end, now));
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message.content)) {
        perform(id, flow.refusal_received(*refusal, now));
    }
}

void coordinator::handle(const link_status& message) {
    auto& upstream = m_upstreams[message.instance.name];
    const bool lost =
        upstream.status.up && (!message.up || message.incarnation != upstream.status.incarnation);
    const bool reconnected =
        upstream.status.up && message.up && message.connection != upstream.status.connection;
    upstream.status = message;
    upstream.sent_since_report = 0;
    if (lost) {
        fail_work_on(message.instance.name);
    } else if (reconnected) {
        ask_for_work_on(message.instance.name);
    }
}

void coordinator::handle(const link_removed& message) {
    m_upstreams.erase(message.instance);
    fail_work_on(message.instance);
}

void coordinator::handle(const work_not_sent& message) {
    const auto position = m_ids.find(message.identity.request_id);
    if (position == m_ids.end()) {
        return;
    }
    const auto id = position->second;
    perform(id, m_requests.at(id).flow.refusal_received(
                    {message.identity, protocol::refusal_reason::upstream_failed,
                     common::execution::not_run, 0, "the link to the upstream is down"},
                    m_hooks.clock()));
}

std::vector<std::uint64_t> coordinator::requests_on(const std::string& instance) const {
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : m_requests) {
        if (request.flow.assigned_instance() == instance) {
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

coordinator::upstream_state* coordinator::choose(const request_flow& flow,
                                                 const dispatch_stage& action) {
    const auto& stage = flow.plan().pipeline.stages[action.stage];
    std::vector<policy::upstream_view> views;
    std::vector<upstream_state*> states;
    for (auto& [name, upstream] : m_upstreams) {
        const auto& status = upstream.status;
        if (status.instance.pool != stage.pool) {
            continue;
        }
        const bool leaving = status.instance.state == platform::instance_state::leaving;
        views.push_back({name, status.instance.failure_domain,
                         status.up && !status.draining && !leaving, status.load.queued,
                         status.load.in_progress, status.load.limit, upstream.sent_since_report});
        states.push_back(&upstream);
    }
    policy::routing_request request{flow.plan().priority, m_failure_domain, action.excluded,
                                    common::digest_of(flow.plan().input), m_hooks.clock()};
    auto index = m_hooks.route(request, views);
    if (!index && !request.excluded.empty()) {
        // With no other upstream left, one that has failed before is better than none.
        request.excluded.clear();
        index = m_hooks.route(request, views);
    }
    return index ? states[*index] : nullptr;
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const dispatch_stage& action) {
    auto& flow = request.flow;
    const auto now = m_hooks.clock();
    auto* const upstream = choose(flow, action);
    if (upstream == nullptr) {
        perform(id, flow.stage_not_dispatched(now));
        return;
    }
    const auto& plan = flow.plan();
    const auto& stage = plan.pipeline.stages[action.stage];
    const auto& status = upstream->status;
    protocol::dispatch message;
    message.identity = {plan.request_id, action.stage, action.attempt, status.incarnation};
    message.deadline_us = common::to_microseconds(plan.deadline) + status.clock_offset_us;
    message.revision = m_configuration->revision;
    message.workspace = plan.workspace;
    message.priority = plan.priority;
    message.idempotent = stage.idempotent;
    message.operation = stage.operation;
    message.model = stage.model;
    message.body = action.body;
    message.resume_offset = action.resume_offset;
    message.trace_parent = plan.trace_parent;
    ++upstream->sent_since_report;
    flow.stage_dispatched(status.instance.name, status.incarnation, message.deadline_us);
    if (!m_links.send(send_work{status.instance.name, message})) {
        handle(work_not_sent{status.instance.name, message.identity});
    }
}

void coordinator::perform_one(std::uint64_t /*id*/, active_request& /*request*/,
                              const send_to_upstream& action) {
    m_links.send(send_work{action.instance, action.content});
}

void coordinator::perform_one(std::uint64_t id, active_request& request,
                              const wait_for_upstream& action) {
    request.wait_timer = std::make_unique<runtime::timer>(m_context.loop());
    request.wait_timer->start(action.delay, m_context.wrap([this, id] {
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

void coordinator::perform_one(std::uint64_t /*id*/, active_request& request,
                              const deliver_answer& action) {
    ++m_answered;
    const auto document = to_document(request.flow.plan().request_id, action);
    if (!request.flow.plan().stream) {
        request.reply.respond(http::json_response(200, document));
        return;
    }
    begin_stream(request);
    request.reply.write(http::encode_event("done", document));
    request.reply.end();
}

void coordinator::perform_one(std::uint64_t /*id*/, active_request& request,
                              const deliver_problem& action) {
    ++m_failed;
    m_log.info("Request failed.",
               {{"request", request.flow.plan().request_id},
                {"problem", std::string{common::to_name(action.content.kind)}},
                {"execution", std::string{common::to_name(action.content.execution)}},
                {"detail", action.content.detail}});
    if (!request.stream_begun) {
        request.reply.respond(to_response(action.content));
        return;
    }
    request.reply.write(http::encode_event("error", to_document(action.content)));
    // Without the end of the body the caller's HTTP library reports an incomplete answer, too.
    request.reply.abort();
}

void coordinator::remove_if_finished(std::uint64_t id) {
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second.flow.finished()) {
        return;
    }
    m_ids.erase(it->second.flow.plan().request_id);
    m_requests.erase(it);
    if (m_requests.empty()) {
        if (auto done = std::exchange(m_done, nullptr)) {
            done();
        }
    }
}

boost::json::value coordinator::dump() const {
    boost::json::object upstreams;
    for (const auto& [name, it] : m_upstreams) {
        upstreams[name] = boost::json::object{{"pool", it.status.instance.pool},
                                              {"up", it.status.up},
                                              {"draining", it.status.draining},
                                              {"queued", it.status.load.queued},
                                              {"in_progress", it.status.load.in_progress},
                                              {"sent_since_report", it.sent_since_report}};
    }
    return boost::json::object{{"revision", m_configuration ? m_configuration->revision : 0},
                               {"requests", m_requests.size()},
                               {"answered", m_answered},
                               {"failed", m_failed},
                               {"rejected_messages", m_inbox.rejected()},
                               {"upstreams", std::move(upstreams)}};
}

} // namespace jujubemast::entry
