#include "gateway/requests/upstream_attempt.h"

#include <algorithm>
#include <utility>

#include "gateway/statuses.h"

namespace jujubemast::gateway::requests {

namespace {

// Largest response that is buffered and passed on as a whole.
constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_failure_bytes = std::size_t{256} * 1024;
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

/// Whether only the end of the connection shows where the body of the response ends.
bool ends_with_connection(unsigned status, const http::headers& fields) {
    constexpr unsigned no_content = 204;
    return status != no_content && http::find_header(fields, "Content-Length").empty() &&
           http::find_header(fields, "Transfer-Encoding").empty();
}

} // namespace

upstream_attempt::upstream_attempt(const runtime::task_context& context,
                                   const adapter& platform_adapter,
                                   std::shared_ptr<instances::pool_member> member,
                                   event_relay& events, http::buffer_budget& budget,
                                   attempt_options options, attempt_hooks hooks)
    : m_context{context}, m_adapter{platform_adapter}, m_member{std::move(member)},
      m_events{events}, m_budget{budget}, m_options{std::move(options)}, m_hooks{std::move(hooks)},
      m_time_limit{context.loop()}, m_failure_timer{context.loop()}, m_event_timer{context.loop()} {
}

upstream_attempt::~upstream_attempt() {
    cancel();
    m_budget.release(m_reserved_bytes + m_field_bytes);
}

void upstream_attempt::start(const http::request& message) {
    m_sent_at = common::monotonic_clock::now();
    ++m_member->in_progress;
    http::call_options call;
    // Only an idempotent request may use an idle connection: if that turns out to be closed, it is
    // unknown whether the server has read the request.
    call.idempotent = m_options.kind == repeatability::idempotent;
    // The client must not resend by itself: every send counts against the attempts and the retry
    // budget.
    call.retry_on_stale_connection = false;
    call.max_body_bytes =
        m_options.kind == repeatability::stream ? max_stream_bytes : max_response_bytes;
    if (m_options.time_limit) {
        m_time_limit.start(*m_options.time_limit, m_context.wrap([this] {
            if (m_hooks.on_time_limit()) {
                cancel();
                fail({attempt_end::broken, "no answer within the attempt's limit"});
            }
        }));
    }
    http::call_hooks hooks;
    hooks.on_head = [this](unsigned status, const http::headers& fields) {
        head_received(status, fields);
    };
    hooks.on_data = [this](std::string_view bytes) { body_received(bytes); };
    hooks.on_done = [this] { response_completed(); };
    hooks.on_error = [this](const http::call_error& error) { call_failed(error); };
    m_call = m_member->client->start(message, std::move(hooks), call);
}

void upstream_attempt::cancel() {
    if (m_call == 0) {
        return;
    }
    m_member->client->cancel(m_call);
    release_connection();
}

void upstream_attempt::release_connection() {
    m_call = 0;
    --m_member->in_progress;
}

bool upstream_attempt::is_stalled() const {
    if (m_call == 0 || m_response.head.status == 0) {
        return false;
    }
    return !m_options.stream_begun || m_events.has_partial();
}

bool upstream_attempt::relays_events() const {
    return m_options.kind == repeatability::stream && is_success(m_response.head.status);
}

void upstream_attempt::call_failed(const http::call_error& error) {
    release_connection();
    if (!error.sent) {
        fail({attempt_end::not_sent, error.detail});
        return;
    }
    reject_response(error.detail, error.kind == http::call_error_kind::closed);
}

void upstream_attempt::head_received(unsigned status, const http::headers& fields) {
    auto& head = m_response.head;
    head = m_adapter.decode_response_head(status, fields);
    const bool success = is_success(status);
    if (head.attempt_id != m_options.attempt_id) {
        // Nothing in it is believed, not even that the request has not run: a faulty upstream may
        // have sent an earlier refusal once more.
        head = {};
        reject_response("the answer belongs to another request");
        return;
    }
    if (success && !head.has_signature) {
        reject_response("the answer is not signed");
        return;
    }
    if (!reserve_fields(fields)) {
        lacks_memory("too little memory for the header");
        return;
    }
    m_response.fields = fields;
    if (head.leaving || head.pause) {
        m_hooks.on_notice(head);
    }
    if (!success) {
        start_failure_timer();
        return;
    }
    if (relays_events()) {
        start_event_timer();
    }
    if (const auto hook = m_hooks.on_head) {
        hook(m_response);
    }
}

void upstream_attempt::body_received(std::string_view bytes) {
    if (relays_events()) {
        relay_events(bytes);
    } else {
        buffer_body(bytes);
    }
}

void upstream_attempt::buffer_body(std::string_view bytes) {
    const auto size = m_response.body.size() + bytes.size();
    const bool success = is_success(m_response.head.status);
    const auto max_size = success ? max_response_bytes : max_failure_bytes;
    if (size > max_size) {
        reject_response("the body is too large");
        return;
    }
    if (!reserve_body(size, max_size)) {
        lacks_memory("too little memory for the body");
        return;
    }
    m_response.body += bytes;
}

void upstream_attempt::lacks_memory(const char* detail) {
    cancel();
    fail({.end = classify_incomplete_response(), .detail = detail, .lacks_memory = true});
}

bool upstream_attempt::reserve_fields(const http::headers& fields) {
    const auto size = http::memory_of(fields);
    if (!m_budget.reserve(0, size)) {
        return false;
    }
    m_field_bytes = size;
    return true;
}

bool upstream_attempt::reserve_body(std::size_t size, std::size_t max_size) {
    if (size <= m_reserved_bytes) {
        return true;
    }
    // Doubling keeps the number of copies small. It must not fail where the exact size fits.
    const auto doubled = std::min(std::max(size, 2 * m_reserved_bytes), max_size);
    for (const auto capacity : {doubled, size}) {
        if (m_budget.reserve(m_reserved_bytes + m_field_bytes, capacity - m_reserved_bytes)) {
            m_reserved_bytes = capacity;
            m_response.body.reserve(capacity);
            return true;
        }
    }
    return false;
}

void upstream_attempt::relay_events(std::string_view bytes) {
    std::string complete_events;
    const auto status = m_events.feed(bytes, complete_events);
    if (!complete_events.empty()) {
        start_event_timer();
        m_options.stream_begun = true;
        m_hooks.on_events(std::move(complete_events));
    }
    if (status != relay_status::good) {
        reject_response("event stream: " + std::string{common::to_name(status)});
    }
}

void upstream_attempt::start_failure_timer() {
    m_failure_timer.start(failure_body_time, m_context.wrap([this] {
        reject_response("the body of a failure does not end");
    }));
}

void upstream_attempt::start_event_timer() {
    if (m_options.early_event_limit) {
        m_event_timer.start(*m_options.early_event_limit,
                            m_context.wrap([this] { early_event_limit_reached(); }));
    } else if (m_options.event_limit) {
        m_event_timer.start(*m_options.event_limit,
                            m_context.wrap([this] { end_silent_stream(); }));
    }
}

void upstream_attempt::early_event_limit_reached() {
    if (m_hooks.on_silence()) {
        end_silent_stream();
    } else if (m_options.event_limit) {
        m_event_timer.start(*m_options.event_limit - *m_options.early_event_limit,
                            m_context.wrap([this] { end_silent_stream(); }));
    }
}

void upstream_attempt::end_silent_stream() {
    reject_response("no complete event within the limit");
}

attempt_end upstream_attempt::classify_incomplete_response() const {
    if (is_refusal(m_response.head)) {
        return m_response.head.input_gone ? attempt_end::input_gone : attempt_end::refused;
    }
    return m_options.stream_begun ? attempt_end::broken_midway : attempt_end::broken;
}

void upstream_attempt::reject_response(const std::string& reason, bool connection_lost) {
    cancel();
    fail({classify_incomplete_response(), reason, true, connection_lost});
}

void upstream_attempt::response_completed() {
    release_connection();
    const auto& head = m_response.head;
    if (head.not_run) {
        fail({head.input_gone ? attempt_end::input_gone : attempt_end::refused,
              "status " + std::to_string(head.status)});
        return;
    }
    const bool ends_stream_badly = m_options.stream_begun && !is_success(head.status);
    if (head.status >= status_first_error || ends_stream_badly) {
        fail({attempt_end::failed, "status " + std::to_string(head.status)});
        return;
    }
    if (relays_events() && m_events.has_partial()) {
        // A body without a length ends with its connection.
        fail({classify_incomplete_response(), "the last event is incomplete", false, true});
        return;
    }
    m_response.ended_with_connection = ends_with_connection(head.status, m_response.fields);
    // An instance that stops after the head cannot be told from one that has sent the whole stream,
    // but a stream has at least one event, and so has what is missing of a stream that broke.
    if (relays_events() && !m_events.has_event_of_upstream() && m_response.ended_with_connection) {
        fail({classify_incomplete_response(), "the stream ended without an event", false, true});
        return;
    }
    m_time_limit.cancel();
    m_event_timer.cancel();
    const auto hook = m_hooks.on_answered;
    hook(m_response);
}

void upstream_attempt::fail(const attempt_failure& failure) {
    m_time_limit.cancel();
    m_failure_timer.cancel();
    m_event_timer.cancel();
    // Copied, because the hook may destroy this object.
    const auto hook = m_hooks.on_failed;
    hook(failure);
}

} // namespace jujubemast::gateway::requests
