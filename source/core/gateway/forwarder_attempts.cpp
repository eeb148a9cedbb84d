#include <algorithm>
#include <utility>

#include "common/digest.h"
#include "gateway/forwarder.h"
#include "gateway/statuses.h"

// Sends requests to upstream instances, relays the response and decides on retries.

namespace jujubemast::gateway {

namespace {

// Time that must be left for another attempt.
constexpr common::duration min_retry_time = std::chrono::milliseconds{60};
// An idempotent request is retried at another upstream after this multiple of its latency target.
constexpr int attempt_timeout_factor = 2;
constexpr int lowest_urgency = 9;
// An engine with free slots starts a request at once and reads the inputs first.
constexpr common::duration input_read_time = std::chrono::milliseconds{60};
// An engine is assumed to have free slots up to this share of them, because other gateways use it
// as well.
constexpr double max_busy_share = 0.5;
// Largest response that is buffered and passed on as a whole.
constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_failure_bytes = std::size_t{256} * 1024;
// Limit for the buffered bodies of all requests together. Beyond it only bodies of up to
// `small_response_bytes` are buffered, so that large responses do not crowd out the others.
constexpr std::size_t max_buffered_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t small_response_bytes = std::size_t{64} * 1024;
// A stream is relayed event by event without buffering, and the deadline bounds its length.
constexpr std::size_t max_stream_bytes = std::size_t{1024} * 1024 * 1024;
// Time limit for the body of a response that reports a failure.
constexpr common::duration failure_body_time = std::chrono::seconds{1};

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

/// Whether the head alone states that the request has not run.
bool is_refusal(const response_head& head) {
    return head.not_run && !is_success(head.status);
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

void forwarder::send(exchange& ex) {
    const auto now = common::monotonic_clock::now();
    auto& pool = pool_of(ex.service);
    policy::routing_request routing;
    routing.failure_domain = m_options.failure_domain;
    routing.excluded = ex.tried;
    routing.prefix = prefix_of(ex);
    routing.now = now;
    ex.member = pool.choose(routing);
    if (!ex.member) {
        refuse(ex, status_unavailable, "no upstream takes work");
        return;
    }
    forward_options options;
    options.upstream_id = ex.member->identity.id;
    options.remaining = ex.response_deadline - now;
    options.workspace = ex.workspace;
    options.last_event = ex.events.started() ? ex.events.last_event() : ex.request.last_event;
    options.inputs = ex.stages.final_inputs();
    if (ex.matched_route->kind == repeatability::stream) {
        options.urgency = std::clamp(ex.priority, 0, lowest_urgency);
        const auto affinity = pool.affinity_member(routing.prefix);
        if (routing.prefix != 0 && affinity && affinity != ex.member &&
            affinity->identity.phase == upstream_phase::serving) {
            options.cache_source = http::to_string(affinity->identity.address);
        }
    }
    ++ex.sends;
    ++ex.possible_runs;
    ++ex.member->in_progress;
    ex.tried.push_back(ex.member->identity.id);
    ex.sent_at = now;
    ex.first_sent_at = ex.first_sent_at.value_or(now);
    ex.head = {};
    clear_body(ex);
    m_log.info("Sent.", {{"attempt", ex.request.attempt_id},
                         {"upstream", options.upstream_id},
                         {"send", std::to_string(ex.sends)},
                         {"in_progress", std::to_string(ex.member->in_progress)}});
    http::call_options call;
    // Only an idempotent request may use an idle connection: if that turns out to be closed, it is
    // unknown whether the server has read the request.
    call.idempotent = ex.matched_route->kind == repeatability::idempotent;
    // The client must not resend by itself: every send counts against the attempts and the retry
    // budget.
    call.retry_on_stale_connection = false;
    call.max_body_bytes =
        ex.matched_route->kind == repeatability::stream ? max_stream_bytes : max_response_bytes;
    start_attempt_timer(ex);
    schedule_input_release(ex);
    ex.call = ex.member->client->start(m_adapter->encode_forward(ex.request, options),
                                       make_hooks(ex.id), call);
}

void forwarder::start_attempt_timer(exchange& ex) {
    if (ex.matched_route->kind != repeatability::idempotent ||
        ex.possible_runs >= ex.matched_route->max_attempts) {
        return;
    }
    ex.attempt_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.attempt_timer->start(ex.matched_route->latency_target * attempt_timeout_factor,
                            m_context.wrap([this, id = ex.id] {
                                auto* slow = find(id);
                                if (slow != nullptr && slow->member &&
                                    pool_of(slow->service).has_alternative(slow->tried)) {
                                    cancel_call(*slow);
                                    attempt_ended(*slow, attempt_end::broken,
                                                  "no answer within the attempt's limit");
                                }
                            }));
}

void forwarder::schedule_input_release(exchange& ex) {
    const auto busy = static_cast<double>(ex.member->in_progress * m_gateway_count);
    if (ex.matched_route->stages.empty() || busy > max_busy_share * ex.member->identity.slots) {
        return;
    }
    ex.input_release_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.input_release_timer->start(input_read_time, m_context.wrap([this, id = ex.id] {
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
            response_completed(*it);
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
        reject_response(*it, error.detail);
    };
    return hooks;
}

void forwarder::cancel_call(exchange& ex) {
    if (ex.call == 0) {
        return;
    }
    ex.member->client->cancel(ex.call);
    ex.call = 0;
    --ex.member->in_progress;
}

void forwarder::head_received(exchange& ex, unsigned status, const http::headers& fields) {
    ex.head = m_adapter->decode_response_head(status, fields);
    ex.head_fields = fields;
    ex.first_byte_at = ex.first_byte_at.value_or(common::monotonic_clock::now());
    const bool success = is_success(status);
    const bool mismatched = ex.head.attempt_id != ex.request.attempt_id;
    if ((mismatched && !ex.head.not_run) || (success && !ex.head.has_signature)) {
        reject_response(ex, mismatched ? "the answer belongs to another request"
                                       : "the answer is not signed");
        return;
    }
    if (!success) {
        start_failure_timer(ex);
    }
    if (!success || ex.matched_route->kind != repeatability::stream) {
        return;
    }
    m_metrics.record_first_byte(ex.matched_route->kind,
                                common::monotonic_clock::now() - ex.arrived);
    if (!ex.relaying) {
        ex.relaying = true;
        ex.reply.begin({status, m_adapter->response_fields(fields), {}});
    }
}

void forwarder::body_received(exchange& ex, std::string_view bytes) {
    if (is_success(ex.head.status) && ex.relaying) {
        relay_events(ex, bytes);
    } else {
        buffer_body(ex, bytes);
    }
}

void forwarder::buffer_body(exchange& ex, std::string_view bytes) {
    const auto size = ex.body.size() + bytes.size();
    const bool success = is_success(ex.head.status);
    if (size > (success ? max_response_bytes : max_failure_bytes)) {
        reject_response(ex, "the body is too large");
        return;
    }
    if (size > small_response_bytes && m_buffered_bytes + bytes.size() > max_buffered_bytes) {
        reject_response(ex, "the bodies of all requests are too large");
        return;
    }
    ex.body += bytes;
    m_buffered_bytes += bytes.size();
}

void forwarder::clear_body(exchange& ex) {
    m_buffered_bytes -= ex.body.size();
    ex.body.clear();
}

void forwarder::start_failure_timer(exchange& ex) {
    ex.failure_timer = std::make_unique<runtime::timer>(m_context.loop());
    ex.failure_timer->start(failure_body_time, m_context.wrap([this, id = ex.id] {
        auto* failed = find(id);
        if (failed != nullptr && failed->call != 0) {
            reject_response(*failed, "the body of a failure does not end");
        }
    }));
}

attempt_end forwarder::classify_incomplete_response(const exchange& ex) {
    if (is_refusal(ex.head)) {
        return ex.head.input_gone ? attempt_end::input_gone : attempt_end::refused;
    }
    return ex.relaying ? attempt_end::broken_midway : attempt_end::broken;
}

void forwarder::reject_response(exchange& ex, const std::string& reason) {
    cancel_call(ex);
    if (is_refusal(ex.head)) {
        // The head still states that the request has not run, but the upstream is at fault.
        --ex.possible_runs;
        pool_of(ex.service).record_failure(*ex.member, common::monotonic_clock::now());
    }
    attempt_ended(ex, classify_incomplete_response(ex), reason);
}

bool forwarder::is_stalled(const exchange& ex) {
    if (ex.call == 0 || ex.head.status == 0) {
        return false;
    }
    return !ex.relaying || ex.events.has_partial();
}

void forwarder::relay_events(exchange& ex, std::string_view bytes) {
    std::string complete_events;
    const auto status = ex.events.feed(bytes, complete_events);
    if (!complete_events.empty()) {
        const auto now = common::monotonic_clock::now();
        if (ex.first_event_at) {
            ex.longest_event_gap = std::max(ex.longest_event_gap, now - ex.last_event_at);
        }
        ex.first_event_at = ex.first_event_at.value_or(now);
        ex.last_event_at = now;
        ex.reply.write(std::move(complete_events));
        // The engine reads its inputs before it sends the first event.
        release_inputs(ex);
    }
    if (status != relay_status::good) {
        reject_response(ex, "event stream: " + std::string{common::to_name(status)});
    }
}

void forwarder::response_completed(exchange& ex) {
    const auto now = common::monotonic_clock::now();
    --ex.member->in_progress;
    ex.call = 0;
    auto& pool = pool_of(ex.service);
    const auto status = ex.head.status;
    if (ex.head.not_run) {
        --ex.possible_runs;
        attempt_ended(ex, ex.head.input_gone ? attempt_end::input_gone : attempt_end::refused,
                      "status " + std::to_string(status));
        return;
    }
    if (status >= status_first_error) {
        attempt_ended(ex, attempt_end::failed, "status " + std::to_string(status));
        return;
    }
    if (ex.relaying && ex.events.has_partial()) {
        attempt_ended(ex, attempt_end::broken_midway, "the last event is incomplete");
        return;
    }
    pool.record_success(*ex.member, now - ex.sent_at, now);
    if (ex.relaying) {
        ex.reply.end();
        finish(ex, request_end::answered, status, "");
        return;
    }
    respond(ex, {status, m_adapter->response_fields(ex.head_fields), ex.body},
            request_end::answered, "");
}

void forwarder::attempt_ended(exchange& ex, attempt_end end, const std::string& detail) {
    const auto now = common::monotonic_clock::now();
    ex.attempt_timer.reset();
    ex.failure_timer.reset();
    ex.input_release_timer.reset();
    auto& pool = pool_of(ex.service);
    attempt_facts facts;
    facts.end = end;
    facts.kind = ex.matched_route->kind;
    facts.resumable = ex.matched_route->resumable;
    const bool not_run = end == attempt_end::not_sent || end == attempt_end::refused ||
                         end == attempt_end::input_gone;
    if (!not_run && ex.member) {
        pool.record_failure(*ex.member, now);
    }
    facts.possible_runs = ex.possible_runs;
    facts.max_attempts = ex.matched_route->max_attempts;
    facts.sends = ex.sends;
    facts.time_left = ex.response_deadline - now > min_retry_time;
    facts.alternative_available = pool.has_alternative(ex.tried);
    facts.budget_left = true;
    auto step = decide_next_step(facts);
    const bool is_repeated = step == next_step::retry || step == next_step::remake_inputs;
    if (is_repeated && !pool.budget().try_acquire(now)) {
        facts.budget_left = false;
        step = decide_next_step(facts);
    }
    m_metrics.record_step(end, step);
    m_log.warn("Attempt failed.", {{"attempt", ex.request.attempt_id},
                                   {"upstream", ex.member ? ex.member->identity.id : ""},
                                   {"end", std::string{common::to_name(end)}},
                                   {"step", std::string{common::to_name(step)}},
                                   {"runs", std::to_string(facts.possible_runs)},
                                   {"budget", std::to_string(pool.budget().balance())},
                                   {"detail", detail}});
    switch (step) {
    case next_step::retry:
        ex.events.restart();
        if (ex.matched_route->stages.empty() || !ex.stages.final_inputs().empty()) {
            send(ex);
            return;
        }
        ex.stages.restart();
        ex.inputs_expire_at.reset();
        advance_stages(ex);
        return;
    case next_step::remake_inputs:
        cancel_orders(ex);
        release_inputs(ex);
        ex.tried.clear();
        ex.stages.restart();
        ex.inputs_expire_at.reset();
        advance_stages(ex);
        return;
    case next_step::pass_on:
        respond(ex, {ex.head.status, m_adapter->response_fields(ex.head_fields), ex.body},
                request_end::upstream_failure, detail);
        return;
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

} // namespace jujubemast::gateway
