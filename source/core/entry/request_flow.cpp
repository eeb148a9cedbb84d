#include "entry/request_flow.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::entry {

namespace {

// Bounds the memory that chunks received ahead of a gap may take.
constexpr std::size_t max_early_chunks = 1024;

// A bound on how often work can be handed back, should all sidecars of a pool leave in turn.
constexpr std::uint32_t max_moves = 16;

// Links that have all gone silent, or the only upstream of a pool that restarts, are back within
// about a second; the caller of a pool without upstreams should not wait for its whole deadline.
constexpr common::duration upstream_patience = std::chrono::seconds{3};
constexpr common::duration upstream_retry_interval = std::chrono::milliseconds{100};

constexpr std::int64_t microseconds_per_second = 1000000;

/// What one payload of an upstream contributes to the stage's output.
struct payload_content {
    std::string text;
    std::uint64_t tokens = 0;
    /// Position of the first token in the whole output.
    std::optional<std::uint64_t> offset;
};

payload_content parse_payload(const std::string& payload) {
    boost::system::error_code ec;
    const auto value = boost::json::parse(payload, ec);
    const auto* object = ec ? nullptr : value.if_object();
    if (object == nullptr) {
        return {payload, 0, std::nullopt};
    }
    if (const auto* output = object->if_contains("output"); output != nullptr) {
        return {output->is_string() ? std::string{output->as_string()}
                                    : boost::json::serialize(*output),
                0, std::nullopt};
    }
    payload_content content;
    if (const auto* offset = object->if_contains("offset");
        offset != nullptr && offset->is_number()) {
        content.offset = offset->to_number<std::uint64_t>();
    }
    if (const auto* tokens = object->if_contains("tokens");
        tokens != nullptr && tokens->is_array()) {
        for (const auto& it : tokens->as_array()) {
            content.text += it.is_string() ? std::string{it.as_string()} : std::string{};
            ++content.tokens;
        }
    }
    return content;
}

void append(flow_actions& actions, flow_actions more) {
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

retry_hook make_bounded_retry(std::uint32_t max_attempts) {
    return [max_attempts](const tickets::stage_settings& stage, std::uint32_t attempts,
                          bool certainly_not_run, common::duration remaining) {
        return attempts < max_attempts && remaining > common::duration::zero() &&
               (stage.idempotent || certainly_not_run);
    };
}

request_flow::request_flow(request_plan plan, retry_hook may_retry)
    : m_plan{std::move(plan)}, m_may_retry{std::move(may_retry)} {}

const tickets::stage_settings& request_flow::stage() const {
    return m_plan.pipeline.stages[m_stage];
}

common::execution request_flow::execution() const {
    if (m_ran) {
        return common::execution::ran;
    }
    return m_unknown || m_in_flight ? common::execution::unknown : common::execution::not_run;
}

bool request_flow::is_current(const protocol::work_identity& identity) const {
    return !m_finished && m_in_flight && identity.request_id == m_plan.request_id &&
           identity.stage == m_stage && identity.attempt == m_attempt &&
           identity.incarnation == m_incarnation;
}

flow_actions request_flow::begin(common::time_point now) {
    m_stage_begin = now;
    return start_attempt();
}

flow_actions request_flow::start_attempt() {
    if (m_output_tokens == 0) {
        // Only tokens are resumed; any other output is produced again from its beginning.
        m_output.clear();
    }
    m_output_before = m_output.size();
    m_tokens_before = m_output_tokens;
    m_damaged = false;
    m_next_sequence = 0;
    m_early_chunks.clear();
    m_digest = {};
    m_end.reset();
    m_instance.clear();
    m_in_flight = false;
    return {dispatch_stage{static_cast<std::uint32_t>(m_stage), m_attempt, stage_body(),
                           m_output_tokens, m_excluded}};
}

std::string request_flow::stage_body() const {
    return boost::json::serialize(boost::json::object{
        {"input", m_plan.input}, {"context", m_context}, {"max_tokens", m_plan.max_tokens}});
}

void request_flow::stage_dispatched(const std::string& instance, std::uint64_t incarnation,
                                    std::int64_t deadline_us) {
    m_instance = instance;
    m_incarnation = incarnation;
    m_deadline_us = deadline_us;
    m_waiting_since.reset();
    m_in_flight = true;
}

flow_actions request_flow::stage_not_dispatched(common::time_point now) {
    if (m_finished) {
        return {};
    }
    if (now - m_waiting_since.value_or(now) < upstream_patience) {
        m_waiting_since = m_waiting_since.value_or(now);
        return {wait_for_upstream{upstream_retry_interval}};
    }
    return fail(problem_kind::unavailable, "no upstream of pool " + stage().pool + " is available",
                microseconds_per_second);
}

flow_actions request_flow::try_again() {
    return m_finished || m_in_flight ? flow_actions{} : start_attempt();
}

flow_actions request_flow::chunk_received(const protocol::result_chunk& chunk,
                                          common::time_point now) {
    if (!is_current(chunk.identity) || chunk.sequence < m_next_sequence ||
        m_early_chunks.size() >= max_early_chunks) {
        return {};
    }
    m_early_chunks.emplace(chunk.sequence, chunk.payload);
    auto actions = accept_pieces();
    if (m_end && m_next_sequence >= m_end->chunk_count) {
        append(actions, check_complete(now));
    }
    return actions;
}

flow_actions request_flow::accept_pieces() {
    flow_actions actions;
    for (auto it = m_early_chunks.find(m_next_sequence); it != m_early_chunks.end();
         it = m_early_chunks.find(m_next_sequence)) {
        take_payload(it->second, actions);
        m_early_chunks.erase(it);
        ++m_next_sequence;
    }
    return actions;
}

void request_flow::take_payload(const std::string& payload, flow_actions& actions) {
    m_digest.update(payload);
    auto content = parse_payload(payload);
    // An upstream that does not resume where it was asked to would repeat or skip tokens.
    m_damaged = m_damaged || (content.offset && *content.offset != m_output_tokens);
    if (m_damaged) {
        return;
    }
    m_output += content.text;
    m_output_tokens += content.tokens;
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    // Output without tokens cannot be resumed, so a piece of it might be delivered twice.
    if (m_plan.stream && last_stage && content.tokens > 0 && !content.text.empty()) {
        actions.emplace_back(deliver_piece{std::move(content.text)});
    }
}

flow_actions request_flow::end_received(const protocol::result_end& end, common::time_point now) {
    if (!is_current(end.identity)) {
        return {};
    }
    m_end = end;
    return check_complete(now);
}

flow_actions request_flow::check_complete(common::time_point now) {
    if (m_next_sequence < m_end->chunk_count) {
        return {send_to_upstream{m_instance,
                                 protocol::fetch{m_end->identity, m_next_sequence, m_deadline_us}}};
    }
    if (m_damaged || m_digest.value() != m_end->digest || m_next_sequence > m_end->chunk_count) {
        return result_damaged(now);
    }
    return complete_stage(now);
}

flow_actions request_flow::result_damaged(common::time_point now) {
    const protocol::refusal refusal{identity(), protocol::refusal_reason::upstream_failed,
                                    common::execution::ran, 0, "result does not match its digest"};
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    if (m_plan.stream && last_stage && m_output_tokens > m_tokens_before) {
        // The caller already has a part of the damaged output.
        m_in_flight = false;
        m_ran = true;
        return fail(problem_kind::upstream_failed, refusal.detail);
    }
    m_output.resize(m_output_before);
    m_output_tokens = m_tokens_before;
    return attempt_failed(problem_kind::upstream_failed, refusal, now);
}

flow_actions request_flow::complete_stage(common::time_point now) {
    flow_actions actions{send_to_upstream{m_instance, protocol::acknowledge{m_end->identity}}};
    m_ran = true;
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    if (m_plan.stream && last_stage && m_output_tokens == 0 && !m_output.empty()) {
        actions.emplace_back(deliver_piece{m_output});
    }
    m_reports.push_back({stage().name, m_instance, m_attempt + 1, now - m_stage_begin,
                         m_end->queue_us, m_end->service_us});
    m_context = std::exchange(m_output, {});
    m_output_tokens = 0;
    m_in_flight = false;
    ++m_stage;
    m_attempt = 0;
    m_moves = 0;
    m_excluded.clear();
    m_stage_begin = now;
    if (m_stage == m_plan.pipeline.stages.size()) {
        m_finished = true;
        actions.emplace_back(deliver_answer{std::move(m_context), std::move(m_reports)});
        return actions;
    }
    append(actions, start_attempt());
    return actions;
}

flow_actions request_flow::refusal_received(const protocol::refusal& refusal,
                                            common::time_point now) {
    if (!is_current(refusal.identity)) {
        return {};
    }
    switch (refusal.reason) {
    case protocol::refusal_reason::deadline_passed:
    case protocol::refusal_reason::deadline_unreachable:
        m_in_flight = false;
        m_unknown = m_unknown || refusal.execution == common::execution::unknown;
        m_ran = m_ran || refusal.execution == common::execution::ran;
        return fail(problem_kind::deadline_exceeded, refusal.detail);
    case protocol::refusal_reason::overloaded:
        return attempt_failed(problem_kind::overloaded, refusal, now);
    case protocol::refusal_reason::wrong_incarnation:
    case protocol::refusal_reason::cancelled:
    case protocol::refusal_reason::draining:
    case protocol::refusal_reason::model_unavailable:
    case protocol::refusal_reason::not_found:
    case protocol::refusal_reason::upstream_failed:
        return attempt_failed(problem_kind::upstream_failed, refusal, now);
    }
    return {};
}

flow_actions request_flow::link_lost(const std::string& instance, common::time_point now) {
    if (m_finished || !m_in_flight || m_instance != instance) {
        return {};
    }
    return attempt_failed(problem_kind::upstream_failed,
                          {identity(), protocol::refusal_reason::upstream_failed,
                           common::execution::unknown, 0, "lost the link to the upstream"},
                          now);
}

flow_actions request_flow::link_reconnected(const std::string& instance) const {
    if (m_finished || !m_in_flight || m_instance != instance) {
        return {};
    }
    return {
        send_to_upstream{m_instance, protocol::fetch{identity(), m_next_sequence, m_deadline_us}}};
}

protocol::work_identity request_flow::identity() const {
    return {m_plan.request_id, static_cast<std::uint32_t>(m_stage), m_attempt, m_incarnation};
}

bool request_flow::may_retry(protocol::refusal_reason reason, bool not_run,
                             common::time_point now) {
    if (reason == protocol::refusal_reason::draining && not_run && m_moves < max_moves) {
        ++m_moves;
    }
    return m_may_retry(stage(), m_attempt + 1 - m_moves, not_run, m_plan.deadline - now);
}

flow_actions request_flow::attempt_failed(problem_kind kind, const protocol::refusal& refusal,
                                          common::time_point now) {
    const auto outcome = refusal.execution;
    m_in_flight = false;
    m_ran = m_ran || outcome == common::execution::ran;
    m_unknown = m_unknown || outcome == common::execution::unknown;
    m_excluded.push_back(m_instance);
    const bool not_run = outcome == common::execution::not_run;
    if (!may_retry(refusal.reason, not_run, now)) {
        return fail(kind, refusal.detail, refusal.retry_after_us);
    }
    ++m_attempt;
    return start_attempt();
}

flow_actions request_flow::deadline_passed() {
    if (m_finished) {
        return {};
    }
    flow_actions actions;
    append_cancel(actions);
    append(actions, fail(problem_kind::deadline_exceeded, "the deadline has passed"));
    return actions;
}

flow_actions request_flow::caller_gone() {
    if (m_finished) {
        return {};
    }
    flow_actions actions;
    append_cancel(actions);
    m_finished = true;
    return actions;
}

void request_flow::append_cancel(flow_actions& actions) {
    if (m_in_flight) {
        actions.emplace_back(
            send_to_upstream{m_instance, protocol::cancel{identity(), m_deadline_us}});
    }
}

flow_actions request_flow::fail(problem_kind kind, std::string detail,
                                std::int64_t retry_after_us) {
    m_finished = true;
    const auto retry_after_s =
        (retry_after_us + microseconds_per_second - 1) / microseconds_per_second;
    return {
        deliver_problem{{kind, execution(), std::move(detail), retry_after_s, m_plan.request_id}}};
}

} // namespace jujubemast::entry
