#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/adapter.h"
#include "gateway/instances/service_pool.h"
#include "gateway/requests/attempt_decision.h"
#include "gateway/requests/event_relay.h"
#include "http/buffer_budget.h"
#include "runtime/executor.h"

namespace jujubemast::gateway::requests {

/// The part of a response that has been received.
struct attempt_response {
    response_head head;
    http::headers fields;
    std::string body;
    /// Only the end of the connection has shown where the body ends.
    bool ended_with_connection = false;
};

/// The end of an attempt without a good response.
struct attempt_failure {
    attempt_end end = attempt_end::broken;
    std::string detail;
    /// The response was invalid or incomplete. The upstream is at fault even if the head states
    /// that the request has not run.
    bool response_invalid = false;
    /// The instance ended the connection before the response was complete.
    bool connection_lost = false;
    /// This gateway had no memory for the response, which may be sound.
    bool lacks_memory = false;
};

/// Receives the events of an attempt. `on_answered` or `on_failed` ends it, and may destroy it.
struct attempt_hooks {
    /// What the instance says of itself in a response of any status.
    std::function<void(const response_head&)> on_notice;
    /// The head of a valid, successful response.
    std::function<void(const attempt_response&)> on_head;
    /// Complete events of a stream.
    std::function<void(std::string events)> on_events;
    /// The response is complete and successful. The body of a stream has gone to `on_events`.
    std::function<void(const attempt_response&)> on_answered;
    std::function<void(const attempt_failure&)> on_failed;
    /// Called when the time limit is reached. Returns whether the attempt ends then.
    std::function<bool()> on_time_limit;
    /// Called when a stream has been silent for `early_event_limit`. Returns whether the attempt
    /// ends then.
    std::function<bool()> on_silence;
};

/// What an attempt needs to know of its request.
struct attempt_options {
    repeatability kind = repeatability::non_idempotent;
    std::string attempt_id;
    /// Events of the stream have already reached the caller.
    bool stream_begun = false;
    /// How long the upstream may take for the response. Unlimited if empty.
    std::optional<common::duration> time_limit;
    /// Longest time from the head of a stream to its first complete event, and between two complete
    /// events. Bytes of incomplete events do not count as progress. Unlimited if empty.
    std::optional<common::duration> event_limit;
    /// An earlier limit, at which the attempt ends only if another one can go on.
    std::optional<common::duration> early_event_limit;
};

/// One send of a request to one upstream instance, until the end of the response. Decides what the
/// received bytes mean and reports one end. Destroying it cancels the call.
class upstream_attempt {
public:
    /// The relay and the budget must outlive the attempt.
    upstream_attempt(const runtime::task_context& context, const adapter& platform_adapter,
                     std::shared_ptr<instances::pool_member> member, event_relay& events,
                     http::buffer_budget& budget, attempt_options options, attempt_hooks hooks);
    ~upstream_attempt();
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;

    void start(const http::request& message);

    /// Whether the response has started but its body, or the current event, is incomplete.
    [[nodiscard]] bool is_stalled() const;

    [[nodiscard]] const std::shared_ptr<instances::pool_member>& member() const { return m_member; }
    [[nodiscard]] common::time_point sent_at() const { return m_sent_at; }
    [[nodiscard]] const attempt_response& response() const { return m_response; }
    [[nodiscard]] bool in_progress() const { return m_call != 0; }

private:
    void head_received(unsigned status, const http::headers& fields);
    void body_received(std::string_view bytes);
    /// Buffers a part of a response that is passed on as a whole.
    void buffer_body(std::string_view bytes);
    /// Makes room for a body of this size. Returns false if there is no memory for it.
    bool reserve_body(std::size_t size, std::size_t max_size);
    /// Makes room for the fields of the response. Returns false if there is no memory for them.
    [[nodiscard]] bool reserve_fields(const http::headers& fields);
    /// Ends the attempt for lack of memory.
    void lacks_memory(const char* detail);
    void relay_events(std::string_view bytes);
    void response_completed();
    void call_failed(const http::call_error& error);
    /// Limits the wait for the body of a failure, which does not affect the decision.
    void start_failure_timer();
    void start_event_timer();
    void early_event_limit_reached();
    void end_silent_stream();
    void cancel();
    /// Records that the call holds no connection any more.
    void release_connection();
    /// Ends the attempt because its response is invalid or incomplete.
    void reject_response(const std::string& reason, bool connection_lost = false);
    /// Returns how the attempt ended if its response stays incomplete.
    [[nodiscard]] attempt_end classify_incomplete_response() const;
    [[nodiscard]] bool relays_events() const;
    void fail(const attempt_failure& failure);

    runtime::task_context m_context;
    const adapter& m_adapter;
    std::shared_ptr<instances::pool_member> m_member;
    event_relay& m_events;
    http::buffer_budget& m_budget;
    attempt_options m_options;
    attempt_hooks m_hooks;
    http::call_id m_call = 0;
    common::time_point m_sent_at;
    runtime::timer m_time_limit;
    runtime::timer m_failure_timer;
    runtime::timer m_event_timer;
    attempt_response m_response;
    /// Bytes of the budget that the fields hold.
    std::size_t m_field_bytes = 0;
    /// Bytes of the budget that the body holds.
    std::size_t m_reserved_bytes = 0;
};

} // namespace jujubemast::gateway::requests
