#include <algorithm>
#include <utility>

#include "gateway/forwarder.h"

// The stages of a request: orders for their pieces, and the release of results.

namespace jujubemast::gateway {

namespace {

// Time that an engine needs from the arrival of a request to its first event, without a queue.
constexpr common::duration engine_start = std::chrono::milliseconds{150};

} // namespace

void forwarder::advance_stages(exchange& target) {
    for (const auto stage : target.stages.take_ready()) {
        order_stage(target, stage);
    }
    if (target.stages.done()) {
        send(target);
    }
}

void forwarder::order_stage(exchange& target, std::uint32_t stage) {
    const auto& spec = target.target->stages[stage];
    const auto later_stages = static_cast<std::int64_t>(target.stages.stages_after(stage));
    common::duration later = engine_start;
    const auto known = target.configuration->services.find(spec.service);
    if (known != target.configuration->services.end() && known->second.pieces) {
        later += call_time(*known->second.pieces, known->second.pieces->batch) * later_stages;
    }
    piece_order order;
    order.key.number = m_next_order++;
    order.attempt_id = target.request.attempt_id;
    order.service = spec.service;
    order.stage = stage;
    order.count = target.stages.count_of(stage);
    order.inputs = target.stages.inputs_of(stage);
    order.input_key = order.inputs.empty() ? target.request.piece_key : std::string{};
    order.priority = target.priority;
    order.result_bytes = spec.result_bytes;
    order.target = target.arrived + target.target->latency_target - later;
    order.latest = target.final_at - later;
    target.orders[order.key.number] = stage;
    m_orders[order.key.number] = target.id;
    if (!m_peers.send(order)) {
        refuse(target, 503, "too many orders wait at this instance");
    }
}

void forwarder::handle(const order_ended& message) {
    const auto it = m_orders.find(message.number);
    if (it == m_orders.end()) {
        return;
    }
    auto* target = find(it->second);
    m_orders.erase(it);
    if (target == nullptr) {
        return;
    }
    const auto stage = target->orders.at(message.number);
    target->orders.erase(message.number);
    switch (message.outcome.status) {
    case order_status::made:
        target->stages.complete(stage, message.outcome.handles);
        for (auto& spent : target->stages.take_spent(false)) {
            m_peers.send(release_results{std::move(spent.service), std::move(spent.handles)});
        }
        advance_stages(*target);
        return;
    case order_status::input_gone:
        attempt_ended(*target, attempt_end::input_gone, "an input of a stage is gone");
        return;
    case order_status::overloaded:
        refuse(*target, 503, "stage overloaded", message.outcome.retry_after);
        return;
    case order_status::expired:
        refuse(*target, 503, "stage not made in time");
        return;
    case order_status::failed:
        refuse(*target, 503, "stage failed");
        return;
    }
}

void forwarder::withdraw_orders(exchange& target) {
    for (const auto& [number, stage] : std::exchange(target.orders, {})) {
        m_orders.erase(number);
        m_peers.send(withdraw_order{target.target->stages[stage].service, {"", number}});
    }
}

void forwarder::release_inputs(exchange& target) {
    for (auto& spent : target.stages.take_spent(true)) {
        m_peers.send(release_results{std::move(spent.service), std::move(spent.handles)});
    }
}

} // namespace jujubemast::gateway
