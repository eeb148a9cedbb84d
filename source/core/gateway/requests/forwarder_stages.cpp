#include <algorithm>
#include <utility>

#include "gateway/requests/forwarder.h"
#include "gateway/statuses.h"

// Orders the stages of a request and releases their results.

namespace jujubemast::gateway::requests {

namespace {

// An instance has memory for only a few results of this size, so they are made just before they are
// read.
constexpr double large_result_bytes = 200'000;
// The transfer cost between failure domains is ignored for smaller results.
constexpr double large_transfer_bytes = 50'000;

} // namespace

stages::staged_request forwarder::staged(const exchange& ex) {
    // Whether a stream is on time was decided by its first event. What is left is the caller's
    // patience.
    const auto target_time = ex.goes_on() ? ex.first_event_deadline
                                          : ex.times.arrived + ex.matched_route->latency_target;
    return {*ex.configuration, *ex.matched_route, ex.stages.progress,
            ex.rank(),         target_time,       ex.goes_on()};
}

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
    const auto now = common::monotonic_clock::now();
    const auto request = staged(ex);
    const auto spare = request.target_time - now - ex.stages.expected;
    return ex.stages.progress.can_defer(stage, spare, [&](std::uint32_t n, common::duration start) {
        return m_estimator.expected_stage(request, n, start, now);
    });
}

void forwarder::record_upcoming(exchange& ex) {
    for (std::uint32_t n = 0; n < ex.matched_route->stages.size(); ++n) {
        if (ex.stages.progress.count_of(n) > 0) {
            ex.stages.upcoming.insert(n);
            m_estimator.add_upcoming(staged(ex), n);
        }
    }
}

void forwarder::remove_upcoming(exchange& ex, std::uint32_t stage) {
    if (ex.stages.upcoming.erase(stage) > 0) {
        m_estimator.remove_upcoming(staged(ex), stage);
    }
}

std::vector<policy::stored_bytes> forwarder::stored_results(const exchange& ex) {
    std::vector<policy::stored_bytes> stored;
    double sum = 0;
    const auto& stages = ex.matched_route->stages;
    for (std::uint32_t n = 0; n < stages.size(); ++n) {
        if (!ex.stages.progress.is_last(n)) {
            continue;
        }
        for (const auto& handle : ex.stages.progress.results_of(n)) {
            auto domain = m_domains.domain_of(handle, m_upstreams);
            const auto known = std::find_if(stored.begin(), stored.end(), [&](const auto& it) {
                return it.failure_domain == domain;
            });
            sum += stages[n].result_bytes;
            if (known != stored.end()) {
                known->bytes += stages[n].result_bytes;
            } else {
                stored.push_back({std::move(domain), stages[n].result_bytes});
            }
        }
    }
    return sum < large_transfer_bytes ? std::vector<policy::stored_bytes>{} : stored;
}

std::string forwarder::preferred_domain(exchange& ex, std::uint32_t stage,
                                        const std::vector<std::string>& inputs) {
    const auto& spec = ex.matched_route->stages[stage];
    double input_bytes = 0;
    for (const auto n : spec.dependencies) {
        input_bytes += ex.matched_route->stages[n].result_bytes *
                       ex.stages.progress.count_of(static_cast<std::uint32_t>(n));
    }
    if (input_bytes >= large_transfer_bytes && !inputs.empty()) {
        return m_domains.domain_of(inputs.front(), m_upstreams);
    }
    if (ex.stages.progress.is_last(stage) && spec.result_bytes >= large_transfer_bytes) {
        const auto stored =
            m_options.transfer.enabled() ? stored_results(ex) : std::vector<policy::stored_bytes>{};
        if (!stored.empty()) {
            return std::max_element(stored.begin(), stored.end(),
                                    [](const auto& a, const auto& b) { return a.bytes < b.bytes; })
                ->failure_domain;
        }
        const auto reader =
            pool_of(ex.service).affinity_member(prefix_of(ex), allowed_instances(ex));
        return reader ? reader->identity.failure_domain : std::string{};
    }
    return {};
}

bool forwarder::order_stage(exchange& ex, std::uint32_t stage) {
    const auto now = common::monotonic_clock::now();
    const auto request = staged(ex);
    const auto& spec = ex.matched_route->stages[stage];
    piece_order order;
    order.key.number = m_next_order++;
    order.attempt_id = ex.request.attempt_id;
    order.service = spec.service;
    order.stage = stage;
    order.count = ex.stages.progress.count_of(stage);
    order.inputs = ex.stages.progress.inputs_of(stage);
    order.inputs_to_release = ex.stages.progress.sole_input_service(stage);
    order.input_key = spec.dependencies.empty() ? ex.request.piece_key : std::string{};
    order.priority = ex.rank();
    order.regions = ex.regions;
    remove_upcoming(ex, stage);
    order.result_bytes = spec.result_bytes;
    order.preferred_domain = preferred_domain(ex, stage, order.inputs);
    order.target_time = m_estimator.stage_target(request, stage, ex.service, now);
    order.deadline = ex.first_event_deadline - (request.target_time - order.target_time);
    if (ex.stages.results_expire_at && !order.inputs.empty()) {
        order.deadline = std::min(order.deadline, *ex.stages.results_expire_at);
    }
    ex.stages.orders[order.key.number] = {
        stage, now, m_estimator.uncorrected_stage(request, stage, common::duration::zero(), now)};
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
        if (message.outcome.handles.size() != ex->stages.progress.count_of(stage)) {
            attempt_ended(*ex, attempt_end::input_gone, "results of a stage are missing");
            return;
        }
        m_estimator.record_stage(staged(*ex), stage, order.expected, now - order.sent, now);
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
               stages::overload_retry_after(message.outcome.retry_after));
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

} // namespace jujubemast::gateway::requests
