#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "gateway/forwarder.h"
#include "gateway/statuses.h"

// The attempts of a request at upstream instances, and the relay of the answer.

namespace jujubemast::gateway {

namespace {

// Another attempt is worth it only with this much time left.
constexpr common::duration least_time_left = std::chrono::milliseconds{60};
// An idempotent request that takes this many times its latency target is tried elsewhere.
constexpr int attempt_patience = 2;
constexpr int least_urgent = 9;
// An engine with free slots begins at once and reads the inputs first.
constexpr common::duration input_read_time = std::chrono::milliseconds{60};
// An engine is taken to have free slots up to this share of them, as other gateways use it as well.
constexpr double free_share = 0.5;
// Largest answer that is collected and passed on whole.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_failure_bytes = std::size_t{256} * 1024;
// Bound of the bodies of all requests together. Only a body up to the smaller size is taken beyond
// it, so that large answers do not crowd out the others.
constexpr std::size_t max_collected_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t small_answer_bytes = std::size_t{64} * 1024;
// A stream is passed on event by event and not held; its length is bounded by the deadline.
constexpr std::size_t max_stream_bytes = std::size_t{1024} * 1024 * 1024;
// Time for the body of an answer that reports a failure.
constexpr common::duration failure_body_time = std::chrono::seconds{1};

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

/// Whether the head alone promises that the request has not run.
bool is_refusal(const answer_head& head) {
    return head.not_run && !is_success(head.status);
}

} // namespace

std::uint64_t forwarder::prefix_of(const exchange& target) const {
    // The last part belongs to this request alone, unless it is the only one.
    const auto& parts = target.request.prompt;
    if (parts.empty()) {
        return 0;
    }
    return common::digest_of(parts.size() > 1 ? parts[parts.size() - 2].id : parts[0].id);
}

void forwarder::send(exchange& target) {
    const auto now = common::monotonic_clock::now();
    auto& pool = pool_of(target.service);
    policy::routing_request wanted;
    wanted.failure_domain = m_options.failure_domain;
    wanted.excluded = target.tried;
    wanted.prefix = prefix_of(target);
    wanted.now = now;
    target.member = pool.choose(wanted);
    if (!target.member) {
        refuse(target, status_unavailable, "no upstream takes work");
        return;
    }
    forward_options options;
    options.upstream_id = target.member->identity.id;
    options.remaining = target.final_at - now;
    options.workspace = target.workspace;
    options.last_event =
        target.events.started() ? target.events.last_event() : target.request.last_event;
    options.inputs = target.stages.final_inputs();
    if (target.target->kind == repeatability::stream) {
        options.urgency = std::clamp(target.priority, 0, least_urgent);
        const auto first = pool.first_choice(wanted.prefix);
        if (wanted.prefix != 0 && first && first != target.member &&
            first->identity.phase == upstream_phase::serving) {
            options.cache_source = http::to_string(first->identity.address);
        }
    }
    ++target.sends;
    ++target.possible_runs;
    ++target.member->in_progress;
    target.tried.push_back(target.member->identity.id);
    target.sent_at = now;
    target.first_sent_at = target.first_sent_at.value_or(now);
    target.head = {};
    drop_body(target);
    m_log.info("Sent.", {{"attempt", target.request.attempt_id},
                         {"upstream", options.upstream_id},
                         {"send", std::to_string(target.sends)},
                         {"in_progress", std::to_string(target.member->in_progress)}});
    http::call_options call;
    // On a kept connection it would stay open whether the request was read before a close.
    call.repeatable = target.target->kind == repeatability::idempotent;
    // Every arrival at an upstream counts against the attempts and the retry budget.
    call.resend = false;
    call.max_body_bytes =
        target.target->kind == repeatability::stream ? max_stream_bytes : max_answer_bytes;
    bound_attempt(target);
    expect_inputs_read(target);
    target.call = target.member->client->start(m_translate->encode_forward(target.request, options),
                                               make_hooks(target.id), call);
}

void forwarder::bound_attempt(exchange& target) {
    if (target.target->kind != repeatability::idempotent ||
        target.possible_runs >= target.target->max_attempts) {
        return;
    }
    target.attempt_timer = std::make_unique<runtime::timer>(m_context.loop());
    target.attempt_timer->start(
        target.target->latency_target * attempt_patience, m_context.wrap([this, id = target.id] {
            auto* slow = find(id);
            if (slow != nullptr && slow->member && pool_of(slow->service).has_other(slow->tried)) {
                stop_call(*slow);
                attempt_ended(*slow, attempt_end::broken, "no answer within the attempt's limit");
            }
        }));
}

void forwarder::expect_inputs_read(exchange& target) {
    const auto busy = static_cast<double>(target.member->in_progress * m_gateways);
    if (target.target->stages.empty() || busy > free_share * target.member->identity.slots) {
        return;
    }
    target.inputs_timer = std::make_unique<runtime::timer>(m_context.loop());
    target.inputs_timer->start(input_read_time, m_context.wrap([this, id = target.id] {
        auto* sent = find(id);
        if (sent != nullptr && sent->call != 0) {
            release_inputs(*sent);
        }
    }));
}

http::call_hooks forwarder::make_hooks(std::uint64_t id) {
    http::call_hooks hooks;
    hooks.on_head = [this, id](unsigned status, const http::headers& fields) {
        if (auto* it = find(id)) {
            head_received(*it, status, fields);
        }
    };
    hooks.on_data = [this, id](std::string_view bytes) {
        if (auto* it = find(id)) {
            body_received(*it, bytes);
        }
    };
    hooks.on_done = [this, id] {
        if (auto* it = find(id)) {
            answer_done(*it);
        }
    };
    hooks.on_error = [this, id](const http::call_error& error) {
        auto* it = find(id);
        if (it == nullptr) {
            return;
        }
        --it->member->in_progress;
        it->call = 0;
        if (!error.sent) {
            --it->possible_runs;
        }
        if (!error.sent) {
            attempt_ended(*it, attempt_end::not_sent, error.detail);
            return;
        }
        reject_answer(*it, error.detail);
    };
    return hooks;
}

void forwarder::stop_call(exchange& target) {
    if (target.call == 0) {
        return;
    }
    target.member->client->cancel(target.call);
    target.call = 0;
    --target.member->in_progress;
}

void forwarder::head_received(exchange& target, unsigned status, const http::headers& fields) {
    target.head = m_translate->decode_answer_head(status, fields);
    target.head_fields = fields;
    target.first_byte_at = target.first_byte_at.value_or(common::monotonic_clock::now());
    const bool good = is_success(status);
    const bool foreign = target.head.attempt_id != target.request.attempt_id;
    if ((foreign && !target.head.not_run) || (good && !target.head.sealed)) {
        reject_answer(target, foreign ? "the answer belongs to another request"
                                      : "the answer is not signed");
        return;
    }
    if (!good) {
        bound_failure_body(target);
    }
    if (!good || target.target->kind != repeatability::stream) {
        return;
    }
    m_metrics.record_first_byte(target.target->kind,
                                common::monotonic_clock::now() - target.arrived);
    if (!target.relaying) {
        target.relaying = true;
        target.reply.begin({status, m_translate->answer_fields(fields), {}});
    }
}

void forwarder::body_received(exchange& target, std::string_view bytes) {
    if (is_success(target.head.status) && target.relaying) {
        relay_events(target, bytes);
    } else {
        collect_body(target, bytes);
    }
}

void forwarder::collect_body(exchange& target, std::string_view bytes) {
    const auto size = target.body.size() + bytes.size();
    const bool good = is_success(target.head.status);
    if (size > (good ? max_answer_bytes : max_failure_bytes)) {
        reject_answer(target, "the body is too large");
        return;
    }
    if (size > small_answer_bytes && m_collected_bytes + bytes.size() > max_collected_bytes) {
        reject_answer(target, "the bodies of all requests are too large");
        return;
    }
    target.body += bytes;
    m_collected_bytes += bytes.size();
}

void forwarder::drop_body(exchange& target) {
    m_collected_bytes -= target.body.size();
    target.body.clear();
}

void forwarder::bound_failure_body(exchange& target) {
    target.failure_timer = std::make_unique<runtime::timer>(m_context.loop());
    target.failure_timer->start(failure_body_time, m_context.wrap([this, id = target.id] {
        auto* failed = find(id);
        if (failed != nullptr && failed->call != 0) {
            reject_answer(*failed, "the body of a failure does not end");
        }
    }));
}

attempt_end forwarder::end_without_answer(const exchange& target) {
    if (is_refusal(target.head)) {
        return target.head.input_gone ? attempt_end::input_gone : attempt_end::refused;
    }
    return target.relaying ? attempt_end::broken_midway : attempt_end::broken;
}

void forwarder::reject_answer(exchange& target, const std::string& reason) {
    stop_call(target);
    if (is_refusal(target.head)) {
        // The head's promise holds, and the upstream is at fault all the same.
        --target.possible_runs;
        pool_of(target.service).record_failure(*target.member, common::monotonic_clock::now());
    }
    attempt_ended(target, end_without_answer(target), reason);
}

bool forwarder::is_stalled(const exchange& target) {
    if (target.call == 0 || target.head.status == 0) {
        return false;
    }
    return !target.relaying || target.events.has_partial();
}

void forwarder::relay_events(exchange& target, std::string_view bytes) {
    std::string whole;
    const auto status = target.events.add(bytes, whole);
    if (!whole.empty()) {
        const auto now = common::monotonic_clock::now();
        if (target.first_event_at) {
            target.longest_pause = std::max(target.longest_pause, now - target.last_event_at);
        }
        target.first_event_at = target.first_event_at.value_or(now);
        target.last_event_at = now;
        target.reply.write(std::move(whole));
        // The engine has read its inputs before the first event.
        release_inputs(target);
    }
    if (status != relay_status::good) {
        reject_answer(target, "event stream: " + std::string{common::to_name(status)});
    }
}

void forwarder::answer_done(exchange& target) {
    const auto now = common::monotonic_clock::now();
    --target.member->in_progress;
    target.call = 0;
    auto& pool = pool_of(target.service);
    const auto status = target.head.status;
    if (target.head.not_run) {
        --target.possible_runs;
        attempt_ended(target,
                      target.head.input_gone ? attempt_end::input_gone : attempt_end::refused,
                      "status " + std::to_string(status));
        return;
    }
    if (status >= status_first_error) {
        attempt_ended(target, attempt_end::failed, "status " + std::to_string(status));
        return;
    }
    if (target.relaying && target.events.has_partial()) {
        attempt_ended(target, attempt_end::broken_midway, "the last event is not whole");
        return;
    }
    pool.record_success(*target.member, now - target.sent_at, now);
    if (target.relaying) {
        target.reply.end();
        finish(target, request_end::answered, status, "");
        return;
    }
    respond(target, {status, m_translate->answer_fields(target.head_fields), target.body},
            request_end::answered, "");
}

void forwarder::attempt_ended(exchange& target, attempt_end end, const std::string& detail) {
    const auto now = common::monotonic_clock::now();
    target.attempt_timer.reset();
    target.failure_timer.reset();
    target.inputs_timer.reset();
    auto& pool = pool_of(target.service);
    attempt_facts facts;
    facts.end = end;
    facts.kind = target.target->kind;
    facts.resumable = target.target->resumable;
    const bool not_run = end == attempt_end::not_sent || end == attempt_end::refused ||
                         end == attempt_end::input_gone;
    if (!not_run && target.member) {
        pool.record_failure(*target.member, now);
    }
    facts.possible_runs = target.possible_runs;
    facts.max_attempts = target.target->max_attempts;
    facts.sends = target.sends;
    facts.time_left = target.final_at - now > least_time_left;
    facts.other_upstream = pool.has_other(target.tried);
    facts.budget_left = true;
    auto step = decide_next_step(facts);
    const bool repeats = step == next_step::retry || step == next_step::remake_inputs;
    if (repeats && !pool.budget().take(now)) {
        facts.budget_left = false;
        step = decide_next_step(facts);
    }
    m_metrics.record_step(end, step);
    m_log.warn("Attempt failed.", {{"attempt", target.request.attempt_id},
                                   {"upstream", target.member ? target.member->identity.id : ""},
                                   {"end", std::string{common::to_name(end)}},
                                   {"step", std::string{common::to_name(step)}},
                                   {"runs", std::to_string(facts.possible_runs)},
                                   {"budget", std::to_string(pool.budget().balance())},
                                   {"detail", detail}});
    switch (step) {
    case next_step::retry:
        target.events.restart();
        if (target.target->stages.empty() || !target.stages.final_inputs().empty()) {
            send(target);
            return;
        }
        target.stages.restart();
        target.inputs_lapse_at.reset();
        advance_stages(target);
        return;
    case next_step::remake_inputs:
        cancel_orders(target);
        release_inputs(target);
        target.tried.clear();
        target.stages.restart();
        target.inputs_lapse_at.reset();
        advance_stages(target);
        return;
    case next_step::pass_on:
        respond(target,
                {target.head.status, m_translate->answer_fields(target.head_fields), target.body},
                request_end::upstream_failure, detail);
        return;
    case next_step::refuse:
        refuse(target, status_unavailable, detail);
        return;
    case next_step::fail:
        respond(target, m_translate->make_refusal(status_bad_gateway, detail, {}),
                request_end::failed, detail);
        return;
    case next_step::abort:
        target.reply.abort();
        finish(target, request_end::cut, 0, detail);
        return;
    }
}

} // namespace jujubemast::gateway
