#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/digest.h"
#include "common/time.h"
#include "entry/problem.h"
#include "protocol/messages.h"
#include "tickets/configuration.h"

namespace jujubemast::entry {

/// What a request asks for, after authentication and lookup of its pipeline.
struct request_plan {
    std::string request_id;
    std::string workspace;
    tickets::pipeline_settings pipeline;
    common::priority priority = common::priority::standard;
    common::time_point deadline;
    std::string input;
    std::uint32_t max_tokens = 0;
    bool stream = false;
    std::string trace_parent;
};

/// How one stage of a request went, as reported to the caller.
struct stage_report {
    std::string name;
    std::string upstream;
    std::uint32_t attempts = 0;
    common::duration elapsed = common::duration::zero();
    std::int64_t queue_us = 0;
    std::int64_t service_us = 0;
};

/// Action: choose an upstream of the stage's pool and dispatch the stage to it.
struct dispatch_stage {
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    std::string body;
    std::uint64_t resume_offset = 0;
    /// Upstreams that have failed this stage or are already working on it.
    std::vector<std::string> excluded;
    /// Delay before the dispatch.
    common::duration delay = common::duration::zero();
};

/// Action: send a message to the upstream that was assigned this work.
struct send_to_upstream {
    std::string instance;
    protocol::message content;
};

/// Action: send a part of the final stage's output to a streaming caller.
struct deliver_chunk {
    std::string text;
};

/// Action: send the complete response to the caller.
struct deliver_response {
    std::string output;
    std::vector<stage_report> stages;
};

/// Action: report the failure of the request to the caller.
struct deliver_problem {
    problem content;
};

/// Action: call `request_flow::retry_dispatch` after the delay, because no upstream is available.
struct wait_for_upstream {
    common::duration delay;
};

using flow_action = std::variant<dispatch_stage, send_to_upstream, deliver_chunk, deliver_response,
                                 deliver_problem, wait_for_upstream>;
using flow_actions = std::vector<flow_action>;

/// The facts that decide whether a stage is attempted again.
struct retry_context {
    const tickets::stage_settings& stage;
    /// Attempts made so far.
    std::uint32_t attempts = 0;
    /// The upstream has certainly not executed the last attempt.
    bool certainly_not_run = false;
    /// Time left until the deadline.
    common::duration remaining = common::duration::zero();
    common::time_point now;
};

/// Returns the delay before another attempt, or nullopt if there must be none.
using retry_hook = std::function<std::optional<common::duration>(const retry_context&)>;

/// Returns the baseline hook. It retries stages that are idempotent or certainly not run, without
/// delay and up to the given number of attempts.
retry_hook make_bounded_retry(std::uint32_t max_attempts);

/// Returns whether there is time for another attempt and it cannot run a non-idempotent stage
/// twice.
bool is_safe_to_retry(const retry_context& context);

/// An attempt that was sent to an upstream and has not ended.
struct attempt_in_progress {
    std::uint32_t attempt = 0;
    std::string instance;
    std::uint64_t incarnation = 0;
    common::time_point sent_at;
    /// The deadline of the dispatch, in the sidecar's clock.
    std::int64_t deadline_us = 0;
};

/// State machine of one request: receives events and returns the actions to perform. Owns no socket
/// and reads no clock.
class request_flow {
public:
    request_flow(request_plan plan, retry_hook may_retry);

    flow_actions begin(common::time_point now);

    /// The attempt of the current stage was sent to its upstream.
    void stage_dispatched(attempt_in_progress attempt);
    /// No upstream could take the stage.
    flow_actions stage_not_dispatched(common::time_point now);
    /// The delay of `wait_for_upstream` has passed.
    flow_actions retry_dispatch();
    /// Returns whether a second attempt may run beside the one that has not responded yet.
    [[nodiscard]] bool may_hedge() const;
    /// Starts a second attempt. The attempt that responds first is kept, and the other one is
    /// cancelled.
    flow_actions hedge();

    flow_actions chunk_received(const protocol::result_chunk& chunk, common::time_point now);
    flow_actions end_received(const protocol::result_end& end, common::time_point now);
    flow_actions refusal_received(const protocol::refusal& refusal, common::time_point now);
    /// The link to an upstream was lost, or its sidecar has restarted.
    flow_actions link_lost(const std::string& instance, common::time_point now);
    /// The connection to the upstream was replaced and may have lost messages.
    flow_actions link_reconnected(const std::string& instance) const;
    flow_actions deadline_passed();
    /// The caller has closed its connection.
    flow_actions caller_disconnected();

    [[nodiscard]] bool finished() const { return m_finished; }
    /// Whether the identity is that of an attempt in progress.
    [[nodiscard]] bool is_current(const protocol::work_identity& identity) const {
        return find(identity) != nullptr;
    }
    [[nodiscard]] const request_plan& plan() const { return m_plan; }
    /// The index of the current stage and the attempts that are in progress for it.
    [[nodiscard]] std::size_t stage_index() const { return m_stage; }
    [[nodiscard]] const std::vector<attempt_in_progress>& attempts() const { return m_attempts; }
    /// Whether the current stage has delivered any part of its result.
    [[nodiscard]] bool responded() const { return m_next_sequence > 0; }
    [[nodiscard]] bool is_assigned_to(const std::string& instance) const;
    /// Whether any stage has run, may have run, or has certainly not run.
    [[nodiscard]] common::execution execution() const;

private:
    [[nodiscard]] const tickets::stage_settings& stage() const;
    [[nodiscard]] protocol::work_identity identity_of(const attempt_in_progress& attempt) const;
    [[nodiscard]] const attempt_in_progress* find(const protocol::work_identity& identity) const;
    [[nodiscard]] std::optional<common::duration> retry_delay(const protocol::refusal& refusal,
                                                              common::time_point now);
    flow_actions start_attempt(common::duration delay);
    void cancel_other_attempts(const protocol::work_identity& winner, flow_actions& actions);
    flow_actions accept_chunks();
    void append_payload(const std::string& payload, flow_actions& actions);
    flow_actions check_complete(common::time_point now);
    flow_actions complete_stage(common::time_point now);
    flow_actions result_corrupted(common::time_point now);
    flow_actions attempt_failed(problem_kind kind, const protocol::refusal& refusal,
                                common::time_point now);
    void end_attempt(const protocol::work_identity& identity, common::execution outcome);
    flow_actions fail(problem_kind kind, std::string detail, std::int64_t retry_after_us = 0);
    void append_cancels(flow_actions& actions) const;
    [[nodiscard]] std::string stage_body() const;

    request_plan m_plan;
    retry_hook m_may_retry;
    std::size_t m_stage = 0;
    std::uint32_t m_next_attempt = 0;
    std::vector<attempt_in_progress> m_attempts;
    /// Since when no upstream has been found for the current attempt.
    std::optional<common::time_point> m_waiting_since;
    bool m_ran = false;
    bool m_may_have_run = false;
    bool m_finished = false;
    common::time_point m_stage_begin;
    std::vector<std::string> m_excluded;
    std::string m_context;
    /// Output of the current stage so far, from all of its attempts.
    std::string m_output;
    std::uint64_t m_output_tokens = 0;
    /// Length of the output, in bytes and in tokens, at the start of the current attempt.
    std::size_t m_output_size_before = 0;
    std::uint64_t m_tokens_before = 0;
    bool m_corrupted = false;
    /// Attempts that were returned without having run, for example by a leaving sidecar. They do
    /// not count as failures.
    std::uint32_t m_returned_attempts = 0;
    std::uint32_t m_next_sequence = 0;
    std::map<std::uint32_t, std::string> m_out_of_order_chunks;
    common::content_digest m_digest;
    std::optional<protocol::result_end> m_end;
    std::vector<stage_report> m_reports;
};

} // namespace jujubemast::entry
