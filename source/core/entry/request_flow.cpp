#include "entry/request_flow.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::entry {

namespace {

// Limits the memory for chunks that arrive ahead of a missing one.
constexpr std::size_t max_out_of_order_chunks = 1024;

// Limits how often work can be returned if all sidecars of a pool leave one after the other.
constexpr std::uint32_t max_returned_attempts = 16;
constexpr std::uint32_t immediate_redispatches = 2;
constexpr common::duration redispatch_delay = std::chrono::milliseconds{50};

// If all links of a pool go silent or its only upstream restarts, an upstream is available again
// within about a second. The callers of a pool that has no upstreams should not have to wait until
// their deadlines.
constexpr common::duration upstream_wait_limit = std::chrono::seconds{3};
constexpr common::duration upstream_retry_interval = std::chrono::milliseconds{100};

constexpr std::int64_t microseconds_per_second = 1000000;

/// The part of the stage's output that one payload of an upstream contributes.
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

bool is_safe_to_retry(const retry_context& context) {
    return context.remaining > common::duration::zero() &&
           (context.stage.idempotent || context.certainly_not_run);
}

retry_hook make_bounded_retry(std::uint32_t max_attempts) {
    return [max_attempts](const retry_context& context) -> std::optional<common::duration> {
        if (context.attempts >= max_attempts || !is_safe_to_retry(context)) {
            return std::nullopt;
        }
        return common::duration::zero();
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
    return m_may_have_run || !m_attempts.empty() ? common::execution::unknown
                                                 : common::execution::not_run;
}

protocol::work_identity request_flow::identity_of(const attempt_in_progress& attempt) const {
    return {m_plan.request_id, static_cast<std::uint32_t>(m_stage), attempt.attempt,
            attempt.incarnation};
}

const attempt_in_progress* request_flow::find(const protocol::work_identity& identity) const {
    const auto it =
        std::find_if(m_attempts.begin(), m_attempts.end(),
                     [&](const attempt_in_progress& at) { return identity_of(at) == identity; });
    return m_finished || it == m_attempts.end() ? nullptr : &*it;
}

bool request_flow::is_assigned_to(const std::string& instance) const {
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [&](const attempt_in_progress& it) { return it.instance == instance; });
}

flow_actions request_flow::begin(common::time_point now) {
    m_stage_begin = now;
    return start_attempt(common::duration::zero());
}

flow_actions request_flow::start_attempt(common::duration delay) {
    if (m_output_tokens == 0) {
        // Only tokens can be resumed. Any other output is produced again from the beginning.
        m_output.clear();
    }
    m_output_size_before = m_output.size();
    m_tokens_before = m_output_tokens;
    m_corrupted = false;
    m_next_sequence = 0;
    m_out_of_order_chunks.clear();
    m_digest = {};
    m_end.reset();
    return {dispatch_stage{static_cast<std::uint32_t>(m_stage), m_next_attempt++, stage_body(),
                           m_output_tokens, m_excluded, delay}};
}

bool request_flow::may_hedge() const {
    return !m_finished && m_attempts.size() == 1 && !responded() && m_out_of_order_chunks.empty() &&
           !m_end && stage().idempotent;
}

flow_actions request_flow::hedge() {
    if (!may_hedge()) {
        return {};
    }
    auto excluded = m_excluded;
    excluded.push_back(m_attempts.front().instance);
    return {dispatch_stage{static_cast<std::uint32_t>(m_stage), m_next_attempt++, stage_body(),
                           m_output_tokens, std::move(excluded)}};
}

std::string request_flow::stage_body() const {
    return boost::json::serialize(boost::json::object{
        {"input", m_plan.input}, {"context", m_context}, {"max_tokens", m_plan.max_tokens}});
}

void request_flow::stage_dispatched(attempt_in_progress attempt) {
    m_attempts.push_back(std::move(attempt));
    m_waiting_since.reset();
}

flow_actions request_flow::stage_not_dispatched(common::time_point now) {
    // A hedge that finds no upstream does not affect the attempt that is in progress.
    if (m_finished || !m_attempts.empty()) {
        return {};
    }
    if (now - m_waiting_since.value_or(now) < upstream_wait_limit) {
        m_waiting_since = m_waiting_since.value_or(now);
        return {wait_for_upstream{upstream_retry_interval}};
    }
    return fail(problem_kind::unavailable, "no upstream of pool " + stage().pool + " is available",
                microseconds_per_second);
}

flow_actions request_flow::retry_dispatch() {
    if (m_finished || !m_attempts.empty()) {
        return {};
    }
    // No attempt was sent with this number, so it is used again.
    --m_next_attempt;
    return start_attempt(common::duration::zero());
}

void request_flow::cancel_other_attempts(const protocol::work_identity& winner,
                                         flow_actions& actions) {
    for (const auto& it : m_attempts) {
        if (identity_of(it) != winner) {
            actions.emplace_back(
                send_to_upstream{it.instance, protocol::cancel{identity_of(it), it.deadline_us}});
            // The cancelled attempt belongs to an idempotent stage and may or may not have run.
            m_may_have_run = true;
        }
    }
    std::erase_if(m_attempts,
                  [&](const attempt_in_progress& it) { return identity_of(it) != winner; });
}

flow_actions request_flow::chunk_received(const protocol::result_chunk& chunk,
                                          common::time_point now) {
    if (find(chunk.identity) == nullptr || chunk.sequence < m_next_sequence ||
        m_out_of_order_chunks.size() >= max_out_of_order_chunks) {
        return {};
    }
    flow_actions actions;
    cancel_other_attempts(chunk.identity, actions);
    m_out_of_order_chunks.emplace(chunk.sequence, chunk.payload);
    append(actions, accept_chunks());
    if (m_end && m_next_sequence >= m_end->chunk_count) {
        append(actions, check_complete(now));
    }
    return actions;
}

flow_actions request_flow::accept_chunks() {
    flow_actions actions;
    for (auto it = m_out_of_order_chunks.find(m_next_sequence); it != m_out_of_order_chunks.end();
         it = m_out_of_order_chunks.find(m_next_sequence)) {
        append_payload(it->second, actions);
        m_out_of_order_chunks.erase(it);
        ++m_next_sequence;
    }
    return actions;
}

void request_flow::append_payload(const std::string& payload, flow_actions& actions) {
    m_digest.update(payload);
    auto content = parse_payload(payload);
    // An upstream that does not resume at the requested offset would repeat or skip tokens.
    m_corrupted = m_corrupted || (content.offset && *content.offset != m_output_tokens);
    if (m_corrupted) {
        return;
    }
    m_output += content.text;
    m_output_tokens += content.tokens;
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    // Output without tokens cannot be resumed, so a part of it could be delivered twice.
    if (m_plan.stream && last_stage && content.tokens > 0 && !content.text.empty()) {
        actions.emplace_back(deliver_chunk{std::move(content.text)});
    }
}

flow_actions request_flow::end_received(const protocol::result_end& end, common::time_point now) {
    if (find(end.identity) == nullptr) {
        return {};
    }
    flow_actions actions;
    cancel_other_attempts(end.identity, actions);
    m_end = end;
    append(actions, check_complete(now));
    return actions;
}

flow_actions request_flow::check_complete(common::time_point now) {
    if (m_next_sequence < m_end->chunk_count) {
        const auto& attempt = m_attempts.front();
        return {send_to_upstream{attempt.instance, protocol::fetch{m_end->identity, m_next_sequence,
                                                                   attempt.deadline_us}}};
    }
    if (m_corrupted || m_digest.value() != m_end->digest || m_next_sequence > m_end->chunk_count) {
        return result_corrupted(now);
    }
    return complete_stage(now);
}

flow_actions request_flow::result_corrupted(common::time_point now) {
    const protocol::refusal refusal{m_end->identity, protocol::refusal_reason::upstream_failed,
                                    common::execution::ran, 0, "result does not match its digest"};
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    if (m_plan.stream && last_stage && m_output_tokens > m_tokens_before) {
        // The caller has already received a part of the corrupted output.
        end_attempt(refusal.identity, refusal.execution);
        return fail(problem_kind::upstream_failed, refusal.detail);
    }
    m_output.resize(m_output_size_before);
    m_output_tokens = m_tokens_before;
    return attempt_failed(problem_kind::upstream_failed, refusal, now);
}

flow_actions request_flow::complete_stage(common::time_point now) {
    const auto instance = m_attempts.front().instance;
    flow_actions actions{send_to_upstream{instance, protocol::acknowledge{m_end->identity}}};
    m_ran = true;
    const bool last_stage = m_stage + 1 == m_plan.pipeline.stages.size();
    if (m_plan.stream && last_stage && m_output_tokens == 0 && !m_output.empty()) {
        actions.emplace_back(deliver_chunk{m_output});
    }
    m_reports.push_back({stage().name, instance, m_next_attempt, now - m_stage_begin,
                         m_end->queue_us, m_end->service_us});
    m_context = std::exchange(m_output, {});
    m_output_tokens = 0;
    m_attempts.clear();
    ++m_stage;
    m_next_attempt = 0;
    m_returned_attempts = 0;
    m_excluded.clear();
    m_stage_begin = now;
    if (m_stage == m_plan.pipeline.stages.size()) {
        m_finished = true;
        actions.emplace_back(deliver_response{std::move(m_context), std::move(m_reports)});
        return actions;
    }
    append(actions, start_attempt(common::duration::zero()));
    return actions;
}

flow_actions request_flow::refusal_received(const protocol::refusal& refusal,
                                            common::time_point now) {
    if (find(refusal.identity) == nullptr) {
        return {};
    }
    switch (refusal.reason) {
    case protocol::refusal_reason::deadline_passed:
    case protocol::refusal_reason::deadline_unreachable: {
        end_attempt(refusal.identity, refusal.execution);
        flow_actions actions;
        append_cancels(actions);
        append(actions, fail(problem_kind::deadline_exceeded, refusal.detail));
        return actions;
    }
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
    const auto it =
        std::find_if(m_attempts.begin(), m_attempts.end(),
                     [&](const attempt_in_progress& at) { return at.instance == instance; });
    if (m_finished || it == m_attempts.end()) {
        return {};
    }
    return attempt_failed(problem_kind::upstream_failed,
                          {identity_of(*it), protocol::refusal_reason::upstream_failed,
                           common::execution::unknown, 0, "lost the link to the upstream"},
                          now);
}

flow_actions request_flow::link_reconnected(const std::string& instance) const {
    flow_actions actions;
    for (const auto& it : m_attempts) {
        if (!m_finished && it.instance == instance) {
            actions.emplace_back(send_to_upstream{
                instance, protocol::fetch{identity_of(it), m_next_sequence, it.deadline_us}});
        }
    }
    return actions;
}

std::optional<common::duration> request_flow::retry_delay(const protocol::refusal& refusal,
                                                          common::time_point now) {
    const bool not_run = refusal.execution == common::execution::not_run;
    const retry_context context{stage(), m_next_attempt - m_returned_attempts, not_run,
                                m_plan.deadline - now, now};
    const bool returned = refusal.reason == protocol::refusal_reason::draining ||
                          refusal.reason == protocol::refusal_reason::upstream_failed;
    if (returned && not_run && m_returned_attempts < max_returned_attempts &&
        is_safe_to_retry(context)) {
        // Work that was returned, never sent, or refused because the upstream is down causes no
        // extra load and needs no retry budget. The delay leaves time for the link status to
        // report that an upstream accepts no work.
        ++m_returned_attempts;
        return m_returned_attempts <= immediate_redispatches ? common::duration::zero()
                                                             : redispatch_delay;
    }
    return m_may_retry(context);
}

void request_flow::end_attempt(const protocol::work_identity& identity, common::execution outcome) {
    m_ran = m_ran || outcome == common::execution::ran;
    m_may_have_run = m_may_have_run || outcome == common::execution::unknown;
    const auto* attempt = find(identity);
    m_excluded.push_back(attempt->instance);
    std::erase_if(m_attempts,
                  [&](const attempt_in_progress& it) { return identity_of(it) == identity; });
}

flow_actions request_flow::attempt_failed(problem_kind kind, const protocol::refusal& refusal,
                                          common::time_point now) {
    end_attempt(refusal.identity, refusal.execution);
    if (!m_attempts.empty()) {
        // The other attempt of the hedge continues.
        return {};
    }
    const auto delay = retry_delay(refusal, now);
    if (!delay) {
        return fail(kind, refusal.detail, refusal.retry_after_us);
    }
    return start_attempt(*delay);
}

flow_actions request_flow::deadline_passed() {
    if (m_finished) {
        return {};
    }
    flow_actions actions;
    append_cancels(actions);
    append(actions, fail(problem_kind::deadline_exceeded, "the deadline has passed"));
    return actions;
}

flow_actions request_flow::caller_disconnected() {
    if (m_finished) {
        return {};
    }
    flow_actions actions;
    append_cancels(actions);
    m_finished = true;
    return actions;
}

void request_flow::append_cancels(flow_actions& actions) const {
    for (const auto& it : m_attempts) {
        actions.emplace_back(
            send_to_upstream{it.instance, protocol::cancel{identity_of(it), it.deadline_us}});
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
