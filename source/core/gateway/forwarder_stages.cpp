#include <algorithm>
#include <utility>

#include "gateway/forwarder.h"
#include "gateway/statuses.h"

// Orders the stages of a request and releases their results.

namespace jujubemast::gateway {

namespace {

// Time from the arrival of a request at an idle engine to its first event.
constexpr common::duration engine_start_time = std::chrono::milliseconds{150};

// Results are kept for a limited time. A stage that is expected to start after this share of the
// lifetime of its inputs would probably lose them.
constexpr double usable_lifetime_share = 0.7;
// An instance has memory for only a few results of this size, so they are made just before they are
// read.
constexpr double large_result_bytes = 200'000;
// The transfer cost between failure domains is ignored for smaller results.
constexpr double large_transfer_bytes = 50'000;

} // namespace

void forwarder::advance_stages(exchange& ex) {
    const auto defer = [&](std::uint32_t stage) { return should_defer(ex, stage); };
    for (const auto stage : ex.stages.progress.take_ready(defer)) {
        if (!order_stage(ex, stage)) {
            refuse(ex, status_unavailable, "too many orders wait at this instance");
            return;
        }
    }
    if (ex.stages.progress.done()) {
        send(ex);
    }
}

bool forwarder::should_defer(const exchange& ex, std::uint32_t stage) const {
    if (ex.matched_route->stages[stage].result_bytes < large_result_bytes) {
        return false;
    }
    const auto spare = ex.times.arrived + ex.matched_route->latency_target -
                       common::monotonic_clock::now() - ex.stages.expected - engine_start_time;
    return ex.stages.progress.can_defer(stage, spare, [&](std::uint32_t n, common::duration start) {
        return expected_stage(ex, n, start);
    });
}

std::size_t forwarder::count_serving_instances(const std::string& service) const {
    if (!m_upstreams) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(m_upstreams->begin(), m_upstreams->end(), [&](const auto& it) {
            return it.second.service == service && it.second.phase == upstream_phase::serving;
        }));
}

std::optional<common::duration> forwarder::backlog_age(const exchange& ex) const {
    std::optional<common::duration> oldest;
    if (ex.matched_route == nullptr) {
        return oldest;
    }
    const auto now = common::monotonic_clock::now();
    for (const auto& stage : ex.matched_route->stages) {
        const auto known = m_backlogs.find(stage.service);
        if (known != m_backlogs.end()) {
            oldest =
                std::max(oldest.value_or(common::duration::zero()), now - known->second.received);
        }
    }
    return oldest;
}

common::duration forwarder::raw_expected_stage(const exchange& ex, std::uint32_t stage,
                                               common::duration start) const {
    const auto& service = ex.matched_route->stages[stage].service;
    const auto known = ex.configuration->services.find(service);
    if (known == ex.configuration->services.end() || !known->second.pieces) {
        return common::duration::zero();
    }
    const auto limits =
        sustained_limits(*known->second.pieces, ex.matched_route->stages[stage].result_bytes);
    const auto reported = m_backlogs.find(service);
    // No report means that nothing waits and all instances are free.
    auto backlog = reported == m_backlogs.end()
                       ? service_backlog{service, {}, count_serving_instances(service), 0}
                       : reported->second.reported;
    const auto upcoming = m_upcoming.find(service);
    if (upcoming != m_upcoming.end() && start > common::duration::zero()) {
        // Assumes that the other gateways have as many upcoming pieces as this one.
        for (const auto& [priority, pieces] : upcoming->second) {
            backlog.waiting[priority] += pieces * m_gateway_count;
        }
    }
    return expected_delay(limits, backlog, ex.priority, ex.stages.progress.count_of(stage), start);
}

common::duration forwarder::expected_stage(const exchange& ex, std::uint32_t stage,
                                           common::duration start) const {
    const auto raw = raw_expected_stage(ex, stage, start);
    const auto bias = m_biases.find({ex.matched_route->stages[stage].service, ex.priority});
    return bias == m_biases.end() ? raw : bias->second.apply(raw, common::monotonic_clock::now());
}

common::duration forwarder::expected_stages(const exchange& ex) const {
    return ex.stages.progress.critical_path_end({}, common::duration::zero(),
                                                [&](std::uint32_t stage, common::duration start) {
                                                    return expected_stage(ex, stage, start);
                                                });
}

common::duration forwarder::expected_after(const exchange& ex, std::uint32_t stage) const {
    const auto made = expected_stage(ex, stage, common::duration::zero());
    return ex.stages.progress.critical_path_end(stage, made,
                                                [&](std::uint32_t later, common::duration start) {
                                                    return expected_stage(ex, later, start);
                                                }) -
           made;
}

void forwarder::record_upcoming(exchange& ex) {
    for (std::uint32_t n = 0; n < ex.matched_route->stages.size(); ++n) {
        if (ex.stages.progress.count_of(n) > 0) {
            ex.stages.upcoming.insert(n);
            m_upcoming[ex.matched_route->stages[n].service][ex.priority] +=
                ex.stages.progress.count_of(n);
        }
    }
}

void forwarder::remove_upcoming(exchange& ex, std::uint32_t stage) {
    if (ex.stages.upcoming.erase(stage) > 0) {
        m_upcoming[ex.matched_route->stages[stage].service][ex.priority] -=
            ex.stages.progress.count_of(stage);
    }
}

bool forwarder::results_would_expire(const exchange& ex) const {
    const auto& stages = ex.matched_route->stages;
    for (std::uint32_t n = 0; n < stages.size(); ++n) {
        if (ex.stages.progress.count_of(n) == 0) {
            continue;
        }
        const auto wait = expected_stage(ex, n, common::duration::zero());
        for (const auto input : stages[n].dependencies) {
            const auto producer = ex.configuration->services.find(stages[input].service);
            if (producer != ex.configuration->services.end() && producer->second.pieces &&
                wait > producer->second.pieces->result_lifetime * usable_lifetime_share) {
                return true;
            }
        }
    }
    return false;
}

std::string forwarder::preferred_domain(exchange& ex, std::uint32_t stage,
                                        const std::vector<std::string>& inputs) {
    const auto& spec = ex.matched_route->stages[stage];
    double input_bytes = 0;
    for (const auto n : spec.dependencies) {
        input_bytes += ex.matched_route->stages[n].result_bytes *
                       ex.stages.progress.count_of(static_cast<std::uint32_t>(n));
    }
    if (input_bytes >= large_transfer_bytes && m_upstreams && !inputs.empty()) {
        const auto instance_address = inputs.front().substr(0, inputs.front().find('/'));
        const auto it =
            std::find_if(m_upstreams->begin(), m_upstreams->end(), [&](const auto& known) {
                return http::to_string(known.second.address) == instance_address;
            });
        return it == m_upstreams->end() ? std::string{} : it->second.failure_domain;
    }
    if (ex.stages.progress.is_last(stage) && spec.result_bytes >= large_transfer_bytes) {
        const auto reader = pool_of(ex.service).affinity_member(prefix_of(ex));
        return reader ? reader->identity.failure_domain : std::string{};
    }
    return {};
}

bool forwarder::order_stage(exchange& ex, std::uint32_t stage) {
    const auto& spec = ex.matched_route->stages[stage];
    const auto later = engine_start_time + expected_after(ex, stage);
    piece_order order;
    order.key.number = m_next_order++;
    order.attempt_id = ex.request.attempt_id;
    order.service = spec.service;
    order.stage = stage;
    order.count = ex.stages.progress.count_of(stage);
    order.inputs = ex.stages.progress.inputs_of(stage);
    order.inputs_to_release = ex.stages.progress.sole_input_service(stage);
    order.input_key = order.inputs.empty() ? ex.request.piece_key : std::string{};
    order.priority = ex.priority;
    remove_upcoming(ex, stage);
    order.result_bytes = spec.result_bytes;
    order.preferred_domain = preferred_domain(ex, stage, order.inputs);
    order.target_time = ex.times.arrived + ex.matched_route->latency_target - later;
    order.deadline = ex.first_event_deadline - later;
    if (ex.stages.results_expire_at && !order.inputs.empty()) {
        order.deadline = std::min(order.deadline, *ex.stages.results_expire_at);
    }
    ex.stages.orders[order.key.number] = {stage, common::monotonic_clock::now(),
                                          raw_expected_stage(ex, stage, common::duration::zero())};
    m_orders[order.key.number] = ex.id;
    return m_peers.send(order);
}

void forwarder::handle(const order_ended& message) {
    const auto it = m_orders.find(message.number);
    if (it == m_orders.end()) {
        return;
    }
    auto* ex = find(it->second);
    m_orders.erase(it);
    if (ex == nullptr) {
        return;
    }
    const auto order = ex->stages.orders.at(message.number);
    const auto stage = order.stage;
    const auto now = common::monotonic_clock::now();
    ex->stages.orders.erase(message.number);
    switch (message.outcome.status) {
    case order_status::made:
        m_biases[{ex->matched_route->stages[stage].service, ex->priority}].record(
            order.expected, now - order.sent, now);
        record_result_expiry(*ex, stage);
        ex->stages.progress.complete(stage, message.outcome.handles);
        for (auto& releasable : ex->stages.progress.take_releasable(false)) {
            m_peers.send(
                release_results{std::move(releasable.service), std::move(releasable.handles)});
        }
        advance_stages(*ex);
        return;
    case order_status::input_gone:
        attempt_ended(*ex, attempt_end::input_gone, "an input of a stage is gone");
        return;
    case order_status::overloaded:
        refuse(*ex, status_unavailable, "stage overloaded",
               overload_retry_after(message.outcome.retry_after));
        return;
    case order_status::expired:
        refuse(*ex, status_unavailable, "stage not made in time");
        return;
    case order_status::failed:
        refuse(*ex, status_unavailable, "stage failed");
        return;
    }
}

void forwarder::record_result_expiry(exchange& ex, std::uint32_t stage) {
    const auto known = ex.configuration->services.find(ex.matched_route->stages[stage].service);
    if (known == ex.configuration->services.end() || !known->second.pieces) {
        return;
    }
    const auto expiry = common::monotonic_clock::now() + known->second.pieces->result_lifetime;
    ex.stages.results_expire_at = std::min(ex.stages.results_expire_at.value_or(expiry), expiry);
}

void forwarder::cancel_orders(exchange& ex) {
    while (!ex.stages.upcoming.empty()) {
        remove_upcoming(ex, *ex.stages.upcoming.begin());
    }
    for (const auto& [number, order] : std::exchange(ex.stages.orders, {})) {
        m_orders.erase(number);
        m_peers.send(cancel_order{ex.matched_route->stages[order.stage].service, {"", number}});
    }
}

void forwarder::release_inputs(exchange& ex) {
    for (auto& releasable : ex.stages.progress.take_releasable(true)) {
        m_peers.send(release_results{std::move(releasable.service), std::move(releasable.handles)});
    }
}

} // namespace jujubemast::gateway
