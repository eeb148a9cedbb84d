#include "gateway/stages/dispatcher.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "gateway/ownership.h"
#include "gateway/stages/expected_delay.h"

namespace jujubemast::gateway::stages {

namespace {

// Part of an instance's result memory that is used, because the configured result sizes are
// approximate.
constexpr double usable_memory_share = 0.85;
constexpr common::duration backlog_report_interval = instances::pause_guard::tick;
// How long an instance is skipped when another failure domain is preferred for all waiting pieces.
constexpr common::duration locality_backoff = std::chrono::milliseconds{30};
// Retry delay that is returned while a service has no instance.
constexpr common::duration no_instance_retry = std::chrono::milliseconds{500};
// How long the outcome of a finished order is kept. This is longer than a gateway keeps asking for
// it.
constexpr common::duration finished_order_retention = std::chrono::seconds{8};

/// Time between the starts of two calls. Evenly spaced calls free the instances at even intervals,
/// so that small calls do not occupy all instances just before more pieces arrive.
common::duration call_spacing(const piece_limits& limits, std::size_t instances) {
    return call_time(limits, limits.batch / 2) /
           static_cast<std::int64_t>(std::max<std::size_t>(1, instances * limits.slots));
}

} // namespace

dispatcher::dispatcher(runtime::task_context context,
                       std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox,
                       runtime::address<peers_message> peers,
                       std::shared_ptr<const adapter> platform_adapter, piece_placement placement)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_peers{std::move(peers)},
      m_adapter{std::move(platform_adapter)}, m_placement{std::move(placement)},
      m_report_timer{m_context.loop()}, m_release_timer{m_context.loop()}, m_stop_timer{
                                                                               m_context.loop()} {}

void dispatcher::start() {
    m_inbox.receive(m_context.wrap([this](const dispatcher_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    report_backlogs();
}

void dispatcher::handle(const shutdown_started& message) {
    m_stop_deadline = message.deadline;
}

void dispatcher::stop(const runtime::stop_done& done) {
    m_stop_done = done;
    m_stop_timer.start(
        std::max(common::duration::zero(), m_stop_deadline - common::monotonic_clock::now()),
        m_context.wrap([this] {
            if (const auto stopped = std::exchange(m_stop_done, {})) {
                stopped();
            }
        }));
    end_stop_if_idle();
}

void dispatcher::end_stop_if_idle() {
    const bool idle = std::all_of(m_orders.begin(), m_orders.end(),
                                  [](const auto& it) { return it.second.finished; });
    if (!idle || !m_stop_done) {
        return;
    }
    // Posted to the loop, so that the outcome of the last order is sent first.
    m_context.loop().post(
        m_context.wrap([stopped = std::exchange(m_stop_done, {})] { stopped(); }));
}

void dispatcher::close() noexcept {
    m_inbox.close();
    m_stop_timer.cancel();
    m_report_timer.cancel();
    m_release_timer.cancel();
    m_dispatch_timers.clear();
    m_warm_up_timers.clear();
    m_calls.clear();
    m_services.clear();
}

const piece_limits* dispatcher::limits_of(const std::string& service) const {
    if (!m_configuration) {
        return nullptr;
    }
    const auto it = m_configuration->services.find(service);
    return it == m_configuration->services.end() || !it->second.pieces ? nullptr
                                                                       : &*it->second.pieces;
}

void dispatcher::handle(const discovery_update& message) {
    m_configuration = message.configuration;
    m_upstreams = message.upstreams;
    for (auto& [name, state] : m_services) {
        update_instances(name, state);
    }
    dispatch_all();
}

void dispatcher::handle(const drains_confirmed& message) {
    if (m_pause_guard.record_confirmed(message.at)) {
        dispatch_all();
    }
}

service_backlog dispatcher::backlog_of(const std::string& name, service_state& service) const {
    update_states(service);
    service_backlog result{name, service.queue.backlog(common::monotonic_clock::now())};
    double goodput = 0;
    for (const auto& [id, it] : service.instances) {
        if (it->state.accepts_work()) {
            ++result.instances;
            result.busy += it->calls > 0 ? 1 : 0;
            goodput += service.health.goodput(id);
        }
    }
    if (result.instances > 0) {
        result.goodput = goodput / static_cast<double>(result.instances);
    }
    return result;
}

void dispatcher::report_backlogs() {
    if (m_pause_guard.end_hold_if_due(common::monotonic_clock::now())) {
        dispatch_all();
    }
    backlog_report report;
    for (auto& [name, service] : m_services) {
        auto backlog = backlog_of(name, service);
        auto& last = m_reported_busy[name];
        if (!backlog.waiting.empty() || backlog.busy > 0 || last) {
            last = !backlog.waiting.empty() || backlog.busy > 0;
            report.services.push_back(std::move(backlog));
        }
    }
    if (!report.services.empty()) {
        m_peers.send(std::move(report));
    }
    m_report_timer.start(backlog_report_interval, m_context.wrap([this] { report_backlogs(); }));
}

void dispatcher::handle(const piece_order& message) {
    const auto known = m_orders.find(message.key);
    if (known != m_orders.end()) {
        if (known->second.finished) {
            m_peers.send(order_finished{message.key, known->second.outcome});
        }
        return;
    }
    const auto [service, is_new] = m_services.try_emplace(message.service);
    if (is_new) {
        update_instances(message.service, service->second);
    }
    auto& state = m_orders[message.key];
    state.order = message;
    state.pieces_left = message.count;
    state.handles.resize(message.count);
    const auto now = common::monotonic_clock::now();
    const auto* limits = limits_of(message.service);
    const auto backlog = backlog_of(message.service, service->second);
    if (limits == nullptr) {
        finish_order(state, {order_status::overloaded, {}, no_instance_retry});
        return;
    }
    if (message.regions.is_restricted() && !may_be_made(service->second, message.regions)) {
        finish_order(state, {order_status::overloaded, {}, no_instance_retry});
        return;
    }
    if (backlog.instances == 0) {
        const auto pause_end = first_pause_end(service->second);
        if (!pause_end || *pause_end + call_time(*limits, message.count) > message.deadline) {
            finish_order(state,
                         {order_status::overloaded,
                          {},
                          pause_end ? *pause_end - now : common::duration{no_instance_retry}});
            return;
        }
    }
    if (std::exchange(service->second.needs_reports, false)) {
        request_reports(message.service, service->second);
    }
    const auto delay = expected_delay(sustained_limits(*limits, message.result_bytes), backlog,
                                      {message.priority, message.target_time - now, message.count});
    if (now + delay > message.deadline) {
        finish_order(state, {order_status::overloaded, {}, delay});
        return;
    }
    service->second.queue.record_order(message, now);
    for (std::uint32_t n = 0; n < message.count; ++n) {
        service->second.queue.push(message, n);
    }
    dispatch(message.service);
}

void dispatcher::handle(const cancel_order& message) {
    const auto it = m_orders.find(message.key);
    if (it == m_orders.end()) {
        return;
    }
    auto& state = it->second;
    queue_release(message.service, state.finished ? state.outcome.handles : made_handles(state));
    m_services[state.order.service].queue.remove(message.key);
    // The origin waits for no outcome, and may place the order here again.
    m_orders.erase(it);
    end_stop_if_idle();
}

void dispatcher::handle(const release_results& message) {
    queue_release(message.service, message.handles);
}

void dispatcher::handle(const owners_changed& message) {
    for (auto& [name, state] : m_services) {
        auto owner = choose_owner(name, message.owners);
        state.needs_reports = state.needs_reports || owner != message.self;
        if (owner != state.owner) {
            state.owner = std::move(owner);
            state.owner_changed = common::monotonic_clock::now();
        }
    }
}

void dispatcher::handle(const process_paused& /*message*/) {
    // Other gateways may have taken the services over meanwhile.
    for (auto& [name, state] : m_services) {
        state.needs_reports = true;
        state.owner_changed = common::monotonic_clock::now();
    }
}

void dispatcher::dispatch_all() {
    for (auto& [name, state] : m_services) {
        dispatch(name);
    }
}

void dispatcher::dispatch(const std::string& name) {
    if (!m_pause_guard.allows_work(common::monotonic_clock::now())) {
        // The end of the hold dispatches again.
        return;
    }
    const auto* limits = limits_of(name);
    auto& service = m_services[name];
    while (limits != nullptr && service.queue.size() > 0) {
        const auto instance = pick_free_instance(name, service, *limits);
        if (!instance) {
            refuse_orders_without_instances(name, service);
            return;
        }
        const auto now = common::monotonic_clock::now();
        if (now < service.next_call && service.queue.size() < limits->batch) {
            schedule_dispatch(name, service.next_call - now);
            return;
        }
        std::vector<order_key> expired;
        call_room room{limits->batch, limits->result_memory_bytes * usable_memory_share -
                                          instance->memory.used(now)};
        auto taken = service.queue.take(
            room, now, call_time(*limits, 1),
            [&](const order_key& it) { return may_take(name, *instance, *limits, it); }, expired);
        for (const auto& it : expired) {
            const auto order = m_orders.find(it);
            if (order != m_orders.end() && !order->second.finished) {
                finish_order(order->second, {order_status::expired, {}, {}});
            }
        }
        // Finishing an order removes its other pieces from the queue but not from this call.
        std::erase_if(taken, [&](const queued_piece& it) {
            const auto order = m_orders.find(it.order);
            return order == m_orders.end() || order->second.finished;
        });
        if (taken.empty() && room.lacks_memory) {
            instance->backoff_until = now + refusal_backoff;
            schedule_dispatch(name, refusal_backoff);
            continue;
        }
        if (taken.empty() && expired.empty()) {
            // All waiting pieces prefer another failure domain, whose instances are busy now.
            instance->backoff_until = now + locality_backoff;
            schedule_dispatch(name, locality_backoff);
            continue;
        }
        if (!taken.empty()) {
            service.next_call = now + call_spacing(*limits, usable_instances(service));
            send_call(name, *limits, instance, std::move(taken));
        }
    }
}

std::vector<std::string> dispatcher::made_handles(const order_state& state) {
    std::vector<std::string> made;
    std::copy_if(state.handles.begin(), state.handles.end(), std::back_inserter(made),
                 [](const std::string& it) { return !it.empty(); });
    return made;
}

void dispatcher::finish_order(order_state& state, order_outcome outcome) {
    const auto now = common::monotonic_clock::now();
    if (outcome.status != order_status::made) {
        queue_release(state.order.service, made_handles(state));
        const auto& service = m_services[state.order.service];
        m_log.warn("Order not made.", {{"attempt", state.order.attempt_id},
                                       {"service", state.order.service},
                                       {"stage", std::to_string(state.order.stage)},
                                       {"status", std::string{common::to_name(outcome.status)}},
                                       {"waiting", std::to_string(service.queue.size())},
                                       {"instances", std::to_string(service.instances.size())}});
    }
    state.handles.clear();
    m_services[state.order.service].queue.remove(state.order.key);
    state.finished = true;
    state.finished_at = now;
    state.outcome = outcome;
    m_finished.emplace_back(now, state.order.key);
    m_peers.send(order_finished{state.order.key, std::move(outcome)});
    forget_finished();
    end_stop_if_idle();
}

void dispatcher::forget_finished() {
    const auto limit = common::monotonic_clock::now() - finished_order_retention;
    while (!m_finished.empty() && m_finished.front().first < limit) {
        const auto& [at, key] = m_finished.front();
        const auto known = m_orders.find(key);
        // The order may have been cancelled and placed again since.
        if (known != m_orders.end() && known->second.finished && known->second.finished_at == at) {
            m_orders.erase(known);
        }
        m_finished.pop_front();
    }
}

void dispatcher::schedule_dispatch(const std::string& name, common::duration delay) {
    auto& timer = m_dispatch_timers[name];
    if (!timer) {
        timer = std::make_unique<runtime::timer>(m_context.loop());
    }
    timer->start(delay, m_context.wrap([this, name] { dispatch(name); }));
}

boost::json::value dispatcher::dump() const {
    boost::json::object services;
    for (const auto& [name, it] : m_services) {
        services[name] =
            boost::json::object{{"waiting", it.queue.size()}, {"instances", it.instances.size()}};
    }
    return boost::json::object{
        {"services", std::move(services)}, {"orders", m_orders.size()}, {"calls", m_calls.size()}};
}

} // namespace jujubemast::gateway::stages
