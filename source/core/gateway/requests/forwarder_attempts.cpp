#include <algorithm>
#include <numeric>
#include <utility>

#include "common/digest.h"
#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"

// Sends requests to upstream instances, passes their responses on and decides on retries.

namespace jujubemast::gateway::requests {

namespace {

// Time that must be left for another attempt.
constexpr common::duration min_retry_time = std::chrono::milliseconds{60};
// An idempotent request is retried at another upstream after this multiple of its latency target.
constexpr int attempt_timeout_factor = 2;
constexpr int lowest_urgency = 9;
// Speed at which an engine reads a prompt, as measured at the users' engines.
constexpr double prompt_tokens_per_ms = 56.6;
// Size of a token of a prompt in the cache of an engine.
constexpr double bytes_per_prompt_token = 18'432;
// An engine with free slots starts a request at once and reads the inputs first.
constexpr common::duration input_read_time = std::chrono::milliseconds{60};

/// Limits how long a stream may go without a complete event.
void set_event_limits(attempt_options& options, const route& of) {
    if (of.kind != repeatability::stream) {
        return;
    }
    const auto patience = event_patience(of);
    options.event_limit = patience;
    if (of.resumable) {
        // Half of the caller's patience is left for another instance to go on.
        options.early_event_limit = patience / 2;
    }
}

} // namespace

std::uint64_t forwarder::prefix_of(const exchange& ex) const {
    // The last part is unique to this request, unless it is the only one.
    const auto& parts = ex.request.prompt;
    if (parts.empty()) {
        return 0;
    }
    return common::digest_of(parts.size() > 1 ? parts[parts.size() - 2].id : parts[0].id);
}

policy::routing_request forwarder::make_routing_request(const exchange& ex) {
    policy::routing_request routing;
    routing.failure_domain = m_options.failure_domain;
    routing.excluded = ex.tried;
    routing.prefix = prefix_of(ex);
    routing.now = common::monotonic_clock::now();
    routing.inputs = stored_results(ex);
    const auto& parts = ex.request.prompt;
    routing.prefix_shared = parts.size() > 1;
    const auto shared_end = routing.prefix_shared ? parts.end() - 1 : parts.end();
    const auto tokens =
        std::accumulate(parts.begin(), shared_end, 0.0,
                        [](double sum, const prompt_part& it) { return sum + it.tokens; });
    routing.prompt_ms = tokens / prompt_tokens_per_ms;
    routing.prompt_bytes = tokens * bytes_per_prompt_token;
    routing.senders = m_gateway_count;
    return routing;
}

void forwarder::send(exchange& ex) {
    if (refuse_if_quarantined(ex) || refuse_if_cut_by_stop(ex, common::duration::zero())) {
        return;
    }
    if (!m_pause_guard.allows_work(common::monotonic_clock::now())) {
        wait_for_instance(ex, {instances::choice_outcome::process_paused, nullptr, {}});
        return;
    }
    if (!start_reading_search(ex)) {
        send_anywhere(ex, {});
    }
}

void forwarder::send_anywhere(exchange& ex, const std::vector<std::string>& avoided) {
    auto& pool = pool_of(ex.service);
    auto routing = make_routing_request(ex);
    routing.excluded.insert(routing.excluded.end(), avoided.begin(), avoided.end());
    auto choice = pool.choose(routing, allowed_instances(ex));
    if (!avoided.empty() && choice.outcome != instances::choice_outcome::chosen) {
        auto first = pool.take(avoided.front(), routing.now);
        if (first && allowed_instances(ex).allows(first->identity)) {
            choice = {instances::choice_outcome::chosen, std::move(first), {}};
        } else {
            choice = pool.choose(make_routing_request(ex), allowed_instances(ex));
        }
    }
    if (choice.outcome != instances::choice_outcome::chosen) {
        wait_for_instance(ex, choice);
        return;
    }
    if (std::exchange(ex.waiting, false)) {
        pool.waiting().remove(ex.id);
    }
    send_to(ex, choice);
}

std::string forwarder::cache_source(const exchange& ex, const instances::instance_choice& choice) {
    auto& pool = pool_of(ex.service);
    const auto prefix = prefix_of(ex);
    if (prefix == 0) {
        return {};
    }
    // An engine reads a token again in less time than the bytes of its cached form are worth
    // between domains. A request that follows its inputs therefore gets a source in the same domain
    // only; others prefer one there that has lately got the prefix.
    const auto now = common::monotonic_clock::now();
    // Another software version may not read what this one caches.
    const auto& version = choice.member->identity.version;
    const auto allowed = instances::instance_filter{ex.regions}.bound_to(version);
    const auto near =
        pool.affinity_member_in(choice.member->identity.failure_domain, prefix, allowed);
    const bool moved = choice.reason == policy::placement_reason::moved_to_inputs;
    const bool near_is_known = m_options.transfer.enabled() && near && near != choice.member &&
                               pool.has_prefix(*near, prefix, now);
    const auto source = moved || near_is_known ? near : pool.affinity_member(prefix, allowed);
    // The cache of an instance that drains is worth reading while it lasts.
    const bool is_useful = source && source != choice.member && source->state.accepts_calls();
    return is_useful ? http::to_string(source->identity.address) : std::string{};
}

void forwarder::record_placement(const instances::pool_member& member,
                                 const instances::instance_choice& choice) {
    // Large inputs are the only transfer that counts where there are any.
    const bool crosses = choice.has_inputs
                             ? choice.remote_bytes > 0
                             : member.identity.failure_domain != m_options.failure_domain;
    m_metrics.record_placement(choice.reason, crosses, choice.remote_bytes);
}

void forwarder::send_to(exchange& ex, const instances::instance_choice& choice) {
    if (must_check_incarnation(ex, choice.member->identity)) {
        check_incarnation(ex, choice);
    } else {
        start_attempt(ex, choice);
    }
}

void forwarder::start_attempt(exchange& ex, const instances::instance_choice& choice) {
    const auto now = common::monotonic_clock::now();
    const auto& member = choice.member;
    forward_options options;
    options.upstream_id = member->identity.id;
    options.remaining = ex.response_deadline - now;
    options.workspace = ex.workspace;
    options.last_event = ex.events.started() ? ex.events.last_event() : ex.request.last_event;
    options.inputs = ex.stages.progress.final_inputs();
    if (ex.matched_route->kind == repeatability::stream) {
        options.urgency = std::clamp(ex.priority, 0, lowest_urgency);
        options.cache_source = cache_source(ex, choice);
    }
    record_placement(*member, choice);
    announce_trial(ex);
    ++ex.sends;
    ++ex.possible_runs;
    ex.writing_since.reset();
    ex.tried.push_back(member->identity.id);
    ex.times.first_sent = ex.times.first_sent.value_or(now);
    m_log.info("Sent.",
               {{"attempt", ex.request.attempt_id},
                {"upstream", options.upstream_id},
                {"version", member->identity.version},
                {"send", std::to_string(ex.sends)},
                {"in_progress", std::to_string(member->in_progress + 1)},
                {"domain", member->identity.failure_domain},
                {"placement", std::string{common::to_name(choice.reason)}},
                {"remote_bytes", std::to_string(static_cast<std::int64_t>(choice.remote_bytes))}});
    attempt_options attempt;
    attempt.kind = ex.matched_route->kind;
    attempt.attempt_id = ex.request.attempt_id;
    attempt.stream_begun = ex.relaying;
    attempt.time_limit = attempt_time_limit(ex);
    set_event_limits(attempt, *ex.matched_route);
    ex.attempt = std::make_unique<upstream_attempt>(
        m_context, *m_adapter, member, ex.events, m_bodies, std::move(attempt), make_hooks(ex.id));
    ex.attempt->start(m_adapter->encode_forward(ex.request, options));
    schedule_input_release(ex);
}

std::optional<common::duration> forwarder::attempt_time_limit(const exchange& ex) {
    if (ex.matched_route->kind != repeatability::idempotent ||
        ex.possible_runs >= ex.matched_route->max_attempts) {
        return std::nullopt;
    }
    return ex.matched_route->latency_target * attempt_timeout_factor;
}

void forwarder::schedule_input_release(exchange& ex) {
    const auto& member = *ex.attempt->member();
    if (ex.matched_route->stages.empty() ||
        !m_options.has_free_slot(pool_of(ex.service).load_of(member, m_gateway_count))) {
        return;
    }
    ex.input_release_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.input_release_timer->start(input_read_time, m_context.wrap([this, id = ex.id] {
        auto* sent = find(id);
        if (sent != nullptr && sent->is_sent()) {
            release_inputs(*sent);
        }
    }));
}

attempt_hooks forwarder::make_hooks(std::uint64_t id) {
    attempt_hooks hooks;
    hooks.on_notice = [this, id](const response_head& it) { notice_received(*find(id), it); };
    hooks.on_head = [this, id](const attempt_response&) { head_received(*find(id)); };
    hooks.on_events = [this, id](std::string it) { events_received(*find(id), std::move(it)); };
    hooks.on_answered = [this, id](const attempt_response& it) { answered(*find(id), it); };
    hooks.on_failed = [this, id](const attempt_failure& it) { attempt_failed(*find(id), it); };
    hooks.on_time_limit = [this, id] {
        const auto& ex = *find(id);
        return pool_of(ex.service)
            .has_ready_alternative(ex.tried, common::monotonic_clock::now(), allowed_instances(ex));
    };
    hooks.on_silence = [this, id] { return another_instance_can_go_on(*find(id)); };
    return hooks;
}

void forwarder::notice_received(const exchange& ex, const response_head& head) {
    auto& member = *ex.attempt->member();
    if (head.leaving && member.state.phase() != instances::instance_phase::draining) {
        member.state.announce_drain();
        m_log.info("The instance is leaving.",
                   {{"attempt", ex.request.attempt_id}, {"upstream", member.identity.id}});
        m_options.announce_leaving({incarnation_of(member.identity)});
    }
    if (head.pause) {
        member.state.request_pause(common::monotonic_clock::now() + *head.pause);
        m_log.info("The instance pauses.",
                   {{"attempt", ex.request.attempt_id},
                    {"upstream", member.identity.id},
                    {"pause_ms", std::to_string(common::to_milliseconds(*head.pause))}});
    }
}

void forwarder::head_received(exchange& ex) {
    const auto now = common::monotonic_clock::now();
    record_alive(ex);
    ex.times.first_byte = ex.times.first_byte.value_or(now);
    if (ex.matched_route->kind == repeatability::stream) {
        m_metrics.record_first_byte(ex.matched_route->kind, now - ex.times.arrived);
    }
}

void forwarder::events_received(exchange& ex, std::string events) {
    auto& times = ex.times;
    const auto now = common::monotonic_clock::now();
    if (times.first_event) {
        times.longest_event_gap = std::max(times.longest_event_gap, now - times.last_event);
    }
    if (!times.first_event) {
        times.first_event = now;
        m_estimator.record_first_event(ex.service, now - ex.attempt->sent_at(), now);
    }
    times.last_event = now;
    record_origin(ex);
    ex.writing_since = ex.writing_since.value_or(now);
    if (now - *ex.writing_since >= m_suspects.limits().sound_time) {
        record_sound_answer(ex, *ex.writing_since);
    }
    pass_on(ex, std::move(events));
    // The engine reads its prompt and its inputs before it sends the first event.
    end_reading(ex);
    release_inputs(ex);
}

void forwarder::answered(exchange& ex, const attempt_response& response) {
    if (ex.origin.keeps_events) {
        ex.origin.is_answered = true;
        return;
    }
    const auto now = common::monotonic_clock::now();
    pool_of(ex.service).record_success(*ex.attempt->member(), now - ex.attempt->sent_at(), now);
    m_response_times.record(ex.matched_route->name, now - ex.attempt->sent_at());
    record_answer(ex, response);
    if (ex.relaying) {
        ex.reply.end();
        finish(ex, request_end::answered, response.head.status, "");
        return;
    }
    respond(ex, {response.head.status, m_adapter->response_fields(response.fields), response.body},
            request_end::answered, "");
}

void forwarder::attempt_failed(exchange& ex, const attempt_failure& failure) {
    release_events(ex);
    const bool not_run = is_certainly_not_run(failure.end);
    if (not_run) {
        --ex.possible_runs;
    }
    if (!failure.lacks_memory && (failure.response_invalid || !not_run)) {
        pool_of(ex.service).record_failure(*ex.attempt->member(), common::monotonic_clock::now());
    }
    record_possible_crash(ex, failure);
    attempt_ended(ex, failure.end, failure.detail);
}

bool forwarder::another_instance_can_go_on(const exchange& ex) {
    const auto now = common::monotonic_clock::now();
    const auto end = ex.relaying ? attempt_end::broken_midway : attempt_end::broken;
    auto facts = facts_of(ex, end, now);
    facts.budget_left = pool_of(ex.service).budget().has_token(now);
    facts.alternative_available =
        facts.alternative_available &&
        pool_of(ex.service).has_ready_alternative(ex.tried, now, allowed_instances(ex));
    return decide_next_step(facts) == next_step::retry;
}

attempt_facts forwarder::facts_of(const exchange& ex, attempt_end end, common::time_point now) {
    attempt_facts facts;
    facts.end = end;
    facts.kind = ex.matched_route->kind;
    facts.resumable = ex.matched_route->resumable;
    facts.possible_runs = ex.possible_runs;
    facts.max_attempts = ex.matched_route->max_attempts;
    facts.sends = ex.sends;
    facts.time_left = ex.response_deadline - now > min_retry_time;
    // Another instance must not be lost to a request that may have crashed this one.
    const bool is_risky =
        !is_certainly_not_run(end) && m_suspects.is_repeat_risky(ex.shared_parts, now);
    facts.alternative_available =
        !is_risky && pool_of(ex.service).has_alternative(ex.tried, now, allowed_instances(ex));
    return facts;
}

void forwarder::attempt_ended(exchange& ex, attempt_end end, const std::string& detail) {
    const auto now = common::monotonic_clock::now();
    ex.input_release_timer.reset();
    end_reading(ex);
    auto& pool = pool_of(ex.service);
    auto facts = facts_of(ex, end, now);
    facts.budget_left = true;
    auto step = decide_next_step(facts);
    const bool is_repeated = step == next_step::retry || step == next_step::remake_inputs;
    if (is_repeated && uses_retry_budget(end) && !pool.budget().try_acquire(now)) {
        facts.budget_left = false;
        step = decide_next_step(facts);
    }
    m_metrics.record_step(end, step);
    m_log.warn("Attempt failed.", {{"attempt", ex.request.attempt_id},
                                   {"upstream", ex.upstream_id()},
                                   {"end", std::string{common::to_name(end)}},
                                   {"step", std::string{common::to_name(step)}},
                                   {"runs", std::to_string(facts.possible_runs)},
                                   {"budget", std::to_string(pool.budget().balance())},
                                   {"parts", to_text(ex.shared_parts)},
                                   {"detail", detail}});
    if (ex.relaying) {
        wait_for_event_since(ex, ex.times.last_event);
        limit_to_stop(ex);
    }
    switch (step) {
    case next_step::retry:
        ex.events.restart();
        if (ex.matched_route->stages.empty() || !ex.stages.progress.final_inputs().empty()) {
            send(ex);
            return;
        }
        restart_stages(ex);
        return;
    case next_step::remake_inputs:
        cancel_orders(ex);
        release_inputs(ex);
        ex.tried.clear();
        restart_stages(ex);
        return;
    case next_step::pass_on: {
        const auto& response = ex.attempt->response();
        respond(ex,
                {response.head.status, m_adapter->response_fields(response.fields), response.body},
                request_end::upstream_failure, detail);
        return;
    }
    case next_step::refuse:
        refuse(ex, status_unavailable, detail);
        return;
    case next_step::fail:
        respond(ex, m_adapter->make_refusal(status_bad_gateway, detail, {}), request_end::failed,
                detail);
        return;
    case next_step::abort:
        ex.reply.abort();
        finish(ex, request_end::cut, 0, detail);
        return;
    }
}

void forwarder::restart_stages(exchange& ex) {
    ex.stages.progress.restart();
    ex.stages.results_expire_at.reset();
    advance_stages(ex);
}

} // namespace jujubemast::gateway::requests
