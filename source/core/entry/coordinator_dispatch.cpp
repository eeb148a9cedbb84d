#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "entry/coordinator.h"

// The part of the coordinator that sends stages to upstreams: routing, retries and hedges.

namespace jujubemast::entry {

namespace {

constexpr common::duration retry_base_delay = std::chrono::milliseconds{10};

// Prompts that share a prefix of this length are routed to the same engine.
constexpr std::size_t prompt_prefix_bytes = 64;

} // namespace

retry_hook coordinator::make_retry_hook() {
    if (!m_hooks.budget_retries) {
        return m_hooks.may_retry;
    }
    return [this](const retry_context& context) -> std::optional<common::duration> {
        const auto allowed = m_hooks.may_retry(context);
        if (!allowed || !m_upstreams.try_acquire_retry(context.stage.pool, context.now)) {
            return std::nullopt;
        }
        constexpr double random_range = 1 << 20;
        const auto random =
            static_cast<double>(common::uniform_below(m_hooks.random, 1U << 20U)) / random_range;
        return policy::retry_backoff(retry_base_delay, context.attempts - 1, random);
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
    // Only engines cache prompt prefixes, and only stages that run on engines name a model.
    const auto prefix =
        stage.model.empty() ? 0 : common::digest_of(plan.input.substr(0, prompt_prefix_bytes));
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
            !it->second.flow.may_hedge() || !m_upstreams.try_acquire_hedge(pool, m_hooks.clock())) {
            return;
        }
        ++m_hedges;
        perform(id, it->second.flow.hedge());
    }));
}

void coordinator::record_attempt_progress(const request_flow& flow, const work_message& message) {
    const auto identity = protocol::identity_of(message.content);
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
                // A later attempt has responded before this one.
                m_timing.record_response(pipeline.name, identity.stage, now - other.sent_at);
                m_upstreams.record_failure(pool, other.instance, now);
            }
        }
    } else if (const auto* end = std::get_if<protocol::result_end>(&message.content)) {
        const std::chrono::microseconds service{end->service_us};
        const auto chunks = std::max<std::int64_t>(1, end->chunk_count);
        m_timing.record_service(pipeline.name, identity.stage, service);
        m_upstreams.record_success(pool, it->instance, service / chunks, now);
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message.content)) {
        if (refusal->reason == protocol::refusal_reason::upstream_failed) {
            m_upstreams.record_failure(pool, it->instance, now);
        }
    }
}

void coordinator::record_unresponsive_attempts(const request_flow& flow) {
    if (flow.finished() || flow.responded()) {
        return;
    }
    for (const auto& it : flow.attempts()) {
        m_upstreams.record_failure(flow.plan().pipeline.stages[flow.stage_index()].pool,
                                   it.instance, m_hooks.clock());
    }
}

} // namespace jujubemast::entry
