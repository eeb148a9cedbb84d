#include <algorithm>
#include <set>
#include <utility>

#include "common/error.h"
#include "gateway/stages/dispatcher.h"
#include "gateway/stages/expected_delay.h"

// Calls that make pieces: sending, timeouts, responses and retries.

namespace jujubemast::gateway::stages {

namespace {

// An order fails after more than this number of failed calls and pieces.
constexpr unsigned max_failures = 3;
// A call that fails sooner than after this share of its expected time has not been worked on. It
// counts as no failure of its orders, which may try again until their deadline.
constexpr double min_worked_share = 0.5;
// Timeout of a call as a multiple of its expected time, because instances differ in speed.
constexpr int call_timeout_factor = 3;
constexpr common::duration call_timeout_margin = std::chrono::milliseconds{300};
// A free instance starts a call at once and reads the inputs first.
constexpr common::duration input_read_time = std::chrono::milliseconds{40};
// Gateways learn within this time who owns a service: one that is silent counts as dead after 1.6
// s.
constexpr common::duration ownership_settling_time = std::chrono::seconds{2};
// A response holds one handle of a few dozen bytes for each piece of the call.
constexpr std::size_t max_response_bytes = std::size_t{256} * 1024;

} // namespace

void dispatcher::send_call(const std::string& name, const piece_limits& limits,
                           const std::shared_ptr<stage_instance>& instance,
                           std::vector<queued_piece> pieces) {
    const auto now = common::monotonic_clock::now();
    std::vector<piece_item> items;
    double bytes = 0;
    for (const auto& it : pieces) {
        auto& state = m_orders.at(it.order);
        const auto& order = state.order;
        items.push_back({order.attempt_id, order.stage, it.piece, order.deadline - now,
                         order.input_key, order.inputs});
        bytes += order.result_bytes;
        if (m_placement.keeps_orders_together && state.started_domain.empty() &&
            order.result_bytes >= large_result_bytes) {
            state.started_domain = instance->identity.failure_domain;
        }
    }
    instance->memory.reserve(bytes);
    ++instance->calls;
    instance->sends.record(now);
    instance->expected_end = now + call_time(limits, pieces.size());
    m_services[name].health.record_dispatch(instance->identity.id, now);
    const auto number = m_next_call++;
    auto& call = m_calls[number];
    call.service = name;
    call.instance = instance;
    call.pieces = std::move(pieces);
    call.sent = now;
    call.timeout_timer = std::make_unique<runtime::timer>(m_context.loop());
    call.timeout_timer->start(
        call_time(limits, call.pieces.size()) * call_timeout_factor + call_timeout_margin,
        m_context.wrap([this, number] {
            const auto it = m_calls.find(number);
            it->second.instance->client->cancel(it->second.id);
            call_ended(number, http::call_error{http::call_error_kind::timeout, true,
                                                "no response in time"});
        }));
    call.input_read_timer = std::make_unique<runtime::timer>(m_context.loop());
    call.input_read_timer->start(input_read_time,
                                 m_context.wrap([this, number] { mark_inputs_read(number); }));
    call.id = instance->client->send(
        m_adapter->encode_piece_call(instance->identity.id, items),
        [this, number](const http::call_result& result) { call_ended(number, result); },
        // The response does not name its call, so the connection must not carry another one.
        {.idempotent = false, .max_body_bytes = max_response_bytes});
}

void dispatcher::notice_received(const std::string& service, stage_instance& instance,
                                 const response_head& head) {
    if (head.leaving && instance.state.phase() != instances::instance_phase::draining) {
        instance.state.announce_drain();
        m_log.info("The instance is leaving.",
                   {{"service", service}, {"upstream", instance.identity.id}});
        m_peers.send(instance_leaving{incarnation_of(instance.identity)});
    }
    if (head.pause) {
        instance.state.request_pause(common::monotonic_clock::now() + *head.pause);
        m_log.info("The instance pauses.",
                   {{"service", service},
                    {"upstream", instance.identity.id},
                    {"pause_ms", std::to_string(common::to_milliseconds(*head.pause))}});
        schedule_dispatch(service, *head.pause);
    }
}

bool dispatcher::is_ownership_settled(const std::string& service, common::time_point now) const {
    const auto known = m_services.find(service);
    return known != m_services.end() &&
           now - known->second.owner_changed >= ownership_settling_time;
}

void dispatcher::mark_inputs_read(std::uint64_t number) {
    const auto call = m_calls.find(number);
    if (call == m_calls.end() ||
        !is_ownership_settled(call->second.service, common::monotonic_clock::now())) {
        // The call may wait at the instance behind calls of other gateways. Its inputs are released
        // when its order is complete.
        return;
    }
    for (const auto& it : call->second.pieces) {
        const auto order = m_orders.find(it.order);
        if (order == m_orders.end() || order->second.finished ||
            ++order->second.pieces_started < order->second.order.count) {
            continue;
        }
        auto& content = order->second.order;
        if (!content.inputs_to_release.empty()) {
            m_peers.send(release_results{content.inputs_to_release, content.inputs});
        }
    }
}

void dispatcher::call_ended(std::uint64_t number, const http::call_result& result) {
    const auto it = m_calls.find(number);
    if (it == m_calls.end()) {
        return;
    }
    auto call = std::move(it->second);
    m_calls.erase(it);
    call.timeout_timer->cancel();
    --call.instance->calls;
    double bytes = 0;
    for (const auto& piece : call.pieces) {
        const auto order = m_orders.find(piece.order);
        bytes += order == m_orders.end() ? 0 : order->second.order.result_bytes;
    }
    call.instance->memory.unreserve(bytes);
    if (const auto* error = std::get_if<http::call_error>(&result)) {
        call_failed(call, error->detail, error->sent ? call_end::no_response : call_end::not_run);
    } else {
        response_received(call, std::get<http::response>(result));
    }
    dispatch(call.service);
}

void dispatcher::response_received(call_state& call, const http::response& response) {
    const auto now = common::monotonic_clock::now();
    const auto head = m_adapter->decode_response_head(response.status, response.fields);
    notice_received(call.service, *call.instance, head);
    if (response.status != 200) {
        if (head.not_run) {
            call.instance->backoff_until = now + refusal_backoff;
            schedule_dispatch(call.service, refusal_backoff);
        }
        call_failed(call, "status " + std::to_string(response.status),
                    head.not_run ? call_end::not_run : call_end::refused);
        return;
    }
    std::vector<piece_result> results;
    try {
        results = m_adapter->decode_piece_response(response.body);
    } catch (const common::format_error& e) {
        call_failed(call, e.what(), call_end::refused);
        return;
    }
    if (results.size() != call.pieces.size()) {
        call_failed(call, "the response has a different number of pieces", call_end::refused);
        return;
    }
    m_log.info(
        "Call answered.",
        {{"service", call.service},
         {"upstream", call.instance->identity.id},
         {"pieces", std::to_string(results.size())},
         {"ms",
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(now - call.sent).count())},
         {"waiting", std::to_string(m_services[call.service].queue.size())},
         {"room_used",
          std::to_string(static_cast<std::int64_t>(call.instance->memory.used(now)))}});
    auto& health = m_services[call.service].health;
    health.record_call(call.instance->identity.id, true, now - call.sent, now);
    const auto per_piece = (now - call.sent) / static_cast<std::int64_t>(call.pieces.size());
    health.record_success(call.instance->identity.id, per_piece, now);
    for (std::size_t n = 0; n < results.size(); ++n) {
        piece_ended(call, call.pieces[n], results[n]);
    }
}

void dispatcher::call_failed(call_state& call, const std::string& reason, call_end end) {
    const auto now = common::monotonic_clock::now();
    const auto took = now - call.sent;
    m_log.warn("Piece call failed.",
               {{"service", call.service},
                {"upstream", call.instance->identity.id},
                {"pieces", std::to_string(call.pieces.size())},
                {"end", std::string{common::to_name(end)}},
                {"ms", std::to_string(static_cast<std::int64_t>(common::to_milliseconds(took)))},
                {"reason", reason}});
    if (call.instance->backoff_until <= now) {
        call.instance->backoff_until = now + refusal_backoff;
        schedule_dispatch(call.service, refusal_backoff);
    }
    if (end != call_end::not_run) {
        m_services[call.service].health.record_call(call.instance->identity.id, false,
                                                    call.instance->backoff_until - call.sent, now);
    }
    if (end == call_end::no_response) {
        // The instance may still run the call, and the results will take memory.
        request_report(call.service, call.instance);
    }
    const auto* limits = limits_of(call.service);
    const bool costly = end != call_end::not_run &&
                        (limits == nullptr || took >= call_time(*limits, 1) * min_worked_share);
    if (costly) {
        count_failure(call.pieces);
    }
    for (const auto& it : call.pieces) {
        const auto order = m_orders.find(it.order);
        if (order != m_orders.end() && !order->second.finished) {
            retry_piece(order->second, it.piece);
        }
    }
}

void dispatcher::count_failure(const std::vector<queued_piece>& pieces) {
    std::set<order_key> failed;
    for (const auto& it : pieces) {
        const auto order = m_orders.find(it.order);
        if (order != m_orders.end() && failed.insert(it.order).second) {
            ++order->second.failures;
        }
    }
}

void dispatcher::retry_piece(order_state& state, std::uint32_t piece) {
    if (state.failures > max_failures) {
        finish_order(state, {order_status::failed, {}, {}});
        return;
    }
    m_services[state.order.service].queue.push(state.order, piece);
}

void dispatcher::piece_ended(call_state& call, const queued_piece& piece,
                             const piece_result& result) {
    const auto now = common::monotonic_clock::now();
    const auto it = m_orders.find(piece.order);
    if (result.status == piece_status::made) {
        const auto* limits = limits_of(call.service);
        const auto lifetime = limits != nullptr ? limits->result_lifetime : common::duration{0};
        const double bytes = it == m_orders.end() ? 0 : it->second.order.result_bytes;
        call.instance->memory.keep(result.handle, bytes, now + lifetime);
    }
    if (it == m_orders.end() || it->second.finished) {
        if (result.status == piece_status::made) {
            queue_release(call.service, {result.handle});
        }
        return;
    }
    auto& state = it->second;
    switch (result.status) {
    case piece_status::made:
        if (!state.handles[piece.piece].empty()) {
            // A call for the order before it was cancelled and placed again.
            queue_release(call.service, {result.handle});
            return;
        }
        state.handles[piece.piece] = result.handle;
        if (--state.pieces_left == 0) {
            finish_order(state, {order_status::made, state.handles, {}});
        }
        return;
    case piece_status::expired:
        finish_order(state, {order_status::expired, {}, {}});
        return;
    case piece_status::input_gone:
        finish_order(state, {order_status::input_gone, {}, {}});
        return;
    case piece_status::no_room:
        request_report(call.service, call.instance);
        call.instance->backoff_until = now + refusal_backoff;
        schedule_dispatch(call.service, refusal_backoff);
        retry_piece(state, piece.piece);
        return;
    case piece_status::failed:
        ++state.failures;
        retry_piece(state, piece.piece);
        return;
    }
}

} // namespace jujubemast::gateway::stages
