#include <algorithm>
#include <utility>

#include "gateway/forwarder.h"
#include "gateway/statuses.h"

// The stages of a request: orders for their pieces, and the release of results.

namespace jujubemast::gateway {

namespace {

// Time that an engine needs from the arrival of a request to its first event, without a queue.
constexpr common::duration engine_start = std::chrono::milliseconds{150};

// Results are kept for a fixed time; a stage that is expected to have its turn later than this
// share of it is not worth its inputs.
constexpr double lifetime_share = 0.7;
// The room of an instance holds few results of this size; they are made just before they are read.
constexpr double large_result = 200'000;
// Smaller results may cross failure domains without regard to the cost.
constexpr double large_transfer = 50'000;

} // namespace

void forwarder::advance_stages(exchange& target) {
    const auto is_early = [&](std::uint32_t stage) { return is_too_early(target, stage); };
    for (const auto stage : target.stages.take_ready(is_early)) {
        if (!order_stage(target, stage)) {
            refuse(target, status_unavailable, "too many orders wait at this instance");
            return;
        }
    }
    if (target.stages.done()) {
        send(target);
    }
}

bool forwarder::is_too_early(const exchange& target, std::uint32_t stage) const {
    if (target.target->stages[stage].result_bytes < large_result) {
        return false;
    }
    const auto spare = target.arrived + target.target->latency_target -
                       common::monotonic_clock::now() - target.expected_stages - engine_start;
    return target.stages.can_wait(stage, spare, [&](std::uint32_t n, common::duration start) {
        return expected_stage(target, n, start);
    });
}

std::size_t forwarder::count_serving(const std::string& service) const {
    if (!m_upstreams) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(m_upstreams->begin(), m_upstreams->end(), [&](const auto& it) {
            return it.second.service == service && it.second.phase == upstream_phase::serving;
        }));
}

std::optional<common::duration> forwarder::backlog_age(const exchange& target) const {
    std::optional<common::duration> oldest;
    if (target.target == nullptr) {
        return oldest;
    }
    const auto now = common::monotonic_clock::now();
    for (const auto& stage : target.target->stages) {
        const auto known = m_backlogs.find(stage.service);
        if (known != m_backlogs.end()) {
            oldest =
                std::max(oldest.value_or(common::duration::zero()), now - known->second.received);
        }
    }
    return oldest;
}

common::duration forwarder::raw_expected_stage(const exchange& target, std::uint32_t stage,
                                               common::duration start) const {
    const auto& service = target.target->stages[stage].service;
    const auto known = target.configuration->services.find(service);
    if (known == target.configuration->services.end() || !known->second.pieces) {
        return common::duration::zero();
    }
    const auto limits =
        sustained_limits(*known->second.pieces, target.target->stages[stage].result_bytes);
    const auto reported = m_backlogs.find(service);
    // Without a report nothing waits, and every instance is free.
    auto backlog = reported == m_backlogs.end()
                       ? service_backlog{service, {}, count_serving(service), 0}
                       : reported->second.reported;
    const auto upcoming = m_upcoming.find(service);
    if (upcoming != m_upcoming.end() && start > common::duration::zero()) {
        // The other gateways are taken to have as much on its way as this one.
        for (const auto& [priority, pieces] : upcoming->second) {
            backlog.waiting[priority] += pieces * m_gateways;
        }
    }
    return expected_delay(limits, backlog, target.priority, target.stages.count_of(stage), start);
}

common::duration forwarder::expected_stage(const exchange& target, std::uint32_t stage,
                                           common::duration start) const {
    const auto raw = raw_expected_stage(target, stage, start);
    const auto bias = m_biases.find({target.target->stages[stage].service, target.priority});
    return bias == m_biases.end() ? raw : bias->second.apply(raw, common::monotonic_clock::now());
}

common::duration forwarder::expected_stages(const exchange& target) const {
    return target.stages.end_of_chain({}, common::duration::zero(),
                                      [&](std::uint32_t stage, common::duration start) {
                                          return expected_stage(target, stage, start);
                                      });
}

common::duration forwarder::expected_after(const exchange& target, std::uint32_t stage) const {
    const auto made = expected_stage(target, stage, common::duration::zero());
    return target.stages.end_of_chain(stage, made,
                                      [&](std::uint32_t later, common::duration start) {
                                          return expected_stage(target, later, start);
                                      }) -
           made;
}

void forwarder::note_upcoming(exchange& target) {
    for (std::uint32_t n = 0; n < target.target->stages.size(); ++n) {
        if (target.stages.count_of(n) > 0) {
            target.upcoming.insert(n);
            m_upcoming[target.target->stages[n].service][target.priority] +=
                target.stages.count_of(n);
        }
    }
}

void forwarder::forget_upcoming(exchange& target, std::uint32_t stage) {
    if (target.upcoming.erase(stage) > 0) {
        m_upcoming[target.target->stages[stage].service][target.priority] -=
            target.stages.count_of(stage);
    }
}

bool forwarder::results_would_lapse(const exchange& target) const {
    const auto& stages = target.target->stages;
    for (std::uint32_t n = 0; n < stages.size(); ++n) {
        if (target.stages.count_of(n) == 0) {
            continue;
        }
        const auto wait = expected_stage(target, n, common::duration::zero());
        for (const auto input : stages[n].after) {
            const auto maker = target.configuration->services.find(stages[input].service);
            if (maker != target.configuration->services.end() && maker->second.pieces &&
                wait > maker->second.pieces->result_lifetime * lifetime_share) {
                return true;
            }
        }
    }
    return false;
}

std::string forwarder::preferred_domain(exchange& target, std::uint32_t stage,
                                        const std::vector<std::string>& inputs) {
    const auto& spec = target.target->stages[stage];
    double input_bytes = 0;
    for (const auto n : spec.after) {
        input_bytes += target.target->stages[n].result_bytes *
                       target.stages.count_of(static_cast<std::uint32_t>(n));
    }
    if (input_bytes >= large_transfer && m_upstreams && !inputs.empty()) {
        const auto maker = inputs.front().substr(0, inputs.front().find('/'));
        const auto it =
            std::find_if(m_upstreams->begin(), m_upstreams->end(), [&](const auto& known) {
                return http::to_string(known.second.address) == maker;
            });
        return it == m_upstreams->end() ? std::string{} : it->second.failure_domain;
    }
    if (target.stages.is_last(stage) && spec.result_bytes >= large_transfer) {
        const auto reader = pool_of(target.service).first_choice(prefix_of(target));
        return reader ? reader->identity.failure_domain : std::string{};
    }
    return {};
}

bool forwarder::order_stage(exchange& target, std::uint32_t stage) {
    const auto& spec = target.target->stages[stage];
    const auto later = engine_start + expected_after(target, stage);
    piece_order order;
    order.key.number = m_next_order++;
    order.attempt_id = target.request.attempt_id;
    order.service = spec.service;
    order.stage = stage;
    order.count = target.stages.count_of(stage);
    order.inputs = target.stages.inputs_of(stage);
    order.inputs_to_release = target.stages.sole_input_service(stage);
    order.input_key = order.inputs.empty() ? target.request.piece_key : std::string{};
    order.priority = target.priority;
    forget_upcoming(target, stage);
    order.result_bytes = spec.result_bytes;
    order.preferred_domain = preferred_domain(target, stage, order.inputs);
    order.target_time = target.arrived + target.target->latency_target - later;
    order.deadline = target.first_event_by - later;
    if (target.inputs_lapse_at && !order.inputs.empty()) {
        order.deadline = std::min(order.deadline, *target.inputs_lapse_at);
    }
    target.orders[order.key.number] = {stage, common::monotonic_clock::now(),
                                       raw_expected_stage(target, stage, common::duration::zero())};
    m_orders[order.key.number] = target.id;
    return m_peers.send(order);
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
    const auto order = target->orders.at(message.number);
    const auto stage = order.stage;
    const auto now = common::monotonic_clock::now();
    target->orders.erase(message.number);
    switch (message.outcome.status) {
    case order_status::made:
        m_biases[{target->target->stages[stage].service, target->priority}].record(
            order.expected, now - order.sent, now);
        note_lapse(*target, stage);
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
        refuse(*target, status_unavailable, "stage overloaded",
               overload_retry(message.outcome.retry_after));
        return;
    case order_status::expired:
        refuse(*target, status_unavailable, "stage not made in time");
        return;
    case order_status::failed:
        refuse(*target, status_unavailable, "stage failed");
        return;
    }
}

void forwarder::note_lapse(exchange& target, std::uint32_t stage) {
    const auto known = target.configuration->services.find(target.target->stages[stage].service);
    if (known == target.configuration->services.end() || !known->second.pieces) {
        return;
    }
    const auto lapse = common::monotonic_clock::now() + known->second.pieces->result_lifetime;
    target.inputs_lapse_at = std::min(target.inputs_lapse_at.value_or(lapse), lapse);
}

void forwarder::cancel_orders(exchange& target) {
    while (!target.upcoming.empty()) {
        forget_upcoming(target, *target.upcoming.begin());
    }
    for (const auto& [number, order] : std::exchange(target.orders, {})) {
        m_orders.erase(number);
        m_peers.send(cancel_order{target.target->stages[order.stage].service, {"", number}});
    }
}

void forwarder::release_inputs(exchange& target) {
    for (auto& spent : target.stages.take_spent(true)) {
        m_peers.send(release_results{std::move(spent.service), std::move(spent.handles)});
    }
}

} // namespace jujubemast::gateway
