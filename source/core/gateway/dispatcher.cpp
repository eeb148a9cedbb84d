#include "gateway/dispatcher.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::gateway {

namespace {

// A piece is given to this many calls before its order fails.
constexpr unsigned max_failures = 3;
// A call may take this many times its expected time, because instances differ in speed.
constexpr int call_patience = 3;
constexpr common::duration call_margin = std::chrono::milliseconds{300};
// An instance that refused a call is full; one of its calls ends within about this time.
constexpr common::duration refusal_rest = std::chrono::milliseconds{100};
// Results to free are collected for this long, so that one call frees several.
constexpr common::duration release_delay = std::chrono::milliseconds{20};
// An instance that is free begins a call at once and reads its inputs first.
constexpr common::duration input_read_time = std::chrono::milliseconds{120};
// The stated sizes of results are approximate.
constexpr double usable_room_share = 0.85;
constexpr common::duration report_interval = std::chrono::milliseconds{200};
// When to come back while a service has no instance.
constexpr common::duration absence_retry = std::chrono::milliseconds{500};
// Pieces wait for an instance near their inputs while this many full calls fit before their target.
constexpr int domain_patience = 2;
// Longer than a gateway keeps asking for the outcome of an order.
constexpr common::duration memory_of_settled = std::chrono::seconds{8};

http::client_limits call_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{500};
    limits.max_idle_connections = 3;
    return limits;
}

// How long an instance stays free for others when all that waits is better made elsewhere.
constexpr common::duration domain_rest = std::chrono::milliseconds{30};

/// Calls that begin evenly spread leave an instance free at even intervals, so that small calls do
/// not take all instances just before more pieces arrive.
common::duration call_spacing(const piece_limits& limits, std::size_t instances) {
    return call_time(limits, limits.batch / 2) /
           static_cast<std::int64_t>(std::max<std::size_t>(1, instances * limits.slots));
}

} // namespace

dispatcher::dispatcher(runtime::task_context context,
                       std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox,
                       runtime::address<peers_message> peers,
                       std::shared_ptr<const adapter> translate)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_peers{std::move(peers)},
      m_translate{std::move(translate)}, m_report_timer{m_context.loop()}, m_release_timer{
                                                                               m_context.loop()} {}

void dispatcher::start() {
    m_inbox.receive(m_context.wrap([this](const dispatcher_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    report_backlogs();
}

void dispatcher::close() noexcept {
    m_inbox.close();
    m_report_timer.cancel();
    m_release_timer.cancel();
    m_retry_timers.clear();
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

void dispatcher::handle(const world_changed& message) {
    m_configuration = message.configuration;
    m_upstreams = message.upstreams;
    for (auto& [name, state] : m_services) {
        update_instances(name, state);
    }
    for (auto& [name, state] : m_services) {
        dispatch(name);
    }
}

void dispatcher::update_instances(const std::string& name, service_state& target) {
    if (!m_upstreams) {
        return;
    }
    for (auto& [id, instance] : target.instances) {
        const auto it = m_upstreams->find(id);
        const bool same = it != m_upstreams->end() && it->second.service == name &&
                          it->second.address == instance->identity.address &&
                          it->second.started_ms == instance->identity.started_ms;
        instance->leaving = !same || it->second.phase == upstream_phase::draining;
        if (!same && instance->calls == 0) {
            instance->client->close();
        }
    }
    std::erase_if(target.instances, [&](const auto& it) {
        const auto known = m_upstreams->find(it.first);
        const bool gone = known == m_upstreams->end() ||
                          known->second.started_ms != it.second->identity.started_ms ||
                          known->second.address != it.second->identity.address;
        if (gone) {
            target.health.remove_member(it.first);
        }
        return gone;
    });
    for (const auto& [id, it] : *m_upstreams) {
        if (it.service != name || target.instances.contains(id)) {
            continue;
        }
        auto added = std::make_shared<instance_state>();
        added->identity = it;
        added->leaving = it.phase == upstream_phase::draining;
        added->client = std::make_unique<http::client>(m_context, it.address, call_limits());
        target.instances.emplace(id, std::move(added));
        target.health.add_member(id);
    }
}

std::size_t dispatcher::usable_instances(service_state& target) const {
    const auto now = common::monotonic_clock::now();
    return static_cast<std::size_t>(
        std::count_if(target.instances.begin(), target.instances.end(), [&](const auto& it) {
            return !it.second->leaving &&
                   target.health.state(it.first, now) != policy::rotation_state::ejected;
        }));
}

service_backlog dispatcher::backlog_of(const std::string& name, service_state& target) const {
    const auto busy =
        std::count_if(target.instances.begin(), target.instances.end(),
                      [](const auto& it) { return !it.second->leaving && it.second->calls > 0; });
    return {name, target.queue.by_priority(), usable_instances(target),
            static_cast<std::size_t>(busy)};
}

void dispatcher::report_backlogs() {
    backlogs_changed report;
    for (auto& [name, target] : m_services) {
        auto backlog = backlog_of(name, target);
        auto& last = m_reported[name];
        if (!backlog.waiting.empty() || backlog.busy > 0 || last) {
            last = !backlog.waiting.empty() || backlog.busy > 0;
            report.services.push_back(std::move(backlog));
        }
    }
    if (!report.services.empty()) {
        m_peers.send(std::move(report));
    }
    m_report_timer.start(report_interval, m_context.wrap([this] { report_backlogs(); }));
}

bool dispatcher::may_take(service_state& target, const instance_state& instance,
                          const piece_limits& limits, const order_key& key) const {
    const auto it = m_orders.find(key);
    if (it == m_orders.end()) {
        return true;
    }
    const auto& order = it->second.order;
    if (order.preferred_domain.empty() ||
        order.preferred_domain == instance.identity.failure_domain) {
        return true;
    }
    const auto now = common::monotonic_clock::now();
    if (order.target - now < call_time(limits, limits.batch) * domain_patience) {
        return true;
    }
    return std::none_of(target.instances.begin(), target.instances.end(), [&](const auto& other) {
        return !other.second->leaving &&
               other.second->identity.failure_domain == order.preferred_domain &&
               target.health.last_state(other.first) != policy::rotation_state::ejected;
    });
}

void dispatcher::handle(const piece_order& message) {
    const auto known = m_orders.find(message.key);
    if (known != m_orders.end()) {
        if (known->second.settled) {
            m_peers.send(order_settled{message.key, known->second.outcome});
        }
        return;
    }
    const auto [service, is_new] = m_services.try_emplace(message.service);
    if (is_new) {
        update_instances(message.service, service->second);
    }
    auto& state = m_orders[message.key];
    state.order = message;
    state.missing = message.count;
    state.handles.resize(message.count);
    const auto* limits = limits_of(message.service);
    const auto backlog = backlog_of(message.service, service->second);
    if (limits == nullptr || backlog.instances == 0) {
        settle(state, {order_status::overloaded, {}, absence_retry});
        return;
    }
    const auto delay = expected_delay(sustained_limits(*limits, message.result_bytes), backlog,
                                      message.priority, message.count);
    if (common::monotonic_clock::now() + delay > message.latest) {
        settle(state, {order_status::overloaded, {}, delay});
        return;
    }
    for (std::uint32_t n = 0; n < message.count; ++n) {
        service->second.queue.push(message, n);
    }
    dispatch(message.service);
}

void dispatcher::handle(const withdraw_order& message) {
    const auto it = m_orders.find(message.key);
    if (it == m_orders.end()) {
        return;
    }
    if (it->second.settled) {
        discard(message.service, it->second.outcome.handles);
        it->second.outcome.handles.clear();
        return;
    }
    settle(it->second, {order_status::expired, {}, {}});
}

void dispatcher::handle(const release_results& message) {
    discard(message.service, message.handles);
}

void dispatcher::dispatch(const std::string& name) {
    const auto* limits = limits_of(name);
    auto& target = m_services[name];
    while (limits != nullptr && target.queue.size() > 0) {
        const auto instance = free_instance(target, *limits);
        if (!instance) {
            return;
        }
        const auto now = common::monotonic_clock::now();
        if (now < target.next_call && target.queue.size() < limits->batch) {
            retry_later(name, target.next_call - now);
            return;
        }
        std::vector<order_key> expired;
        auto taken = target.queue.take(
            limits->batch, now, call_time(*limits, 1),
            [&](const order_key& it) { return may_take(target, *instance, *limits, it); }, expired);
        for (const auto& it : expired) {
            const auto order = m_orders.find(it);
            if (order != m_orders.end() && !order->second.settled) {
                settle(order->second, {order_status::expired, {}, {}});
            }
        }
        // Settling an order removes its other pieces from the queue but not from this call.
        std::erase_if(taken, [&](const queued_piece& it) {
            const auto order = m_orders.find(it.order);
            return order == m_orders.end() || order->second.settled;
        });
        // Pieces whose results do not fit go back.
        double room = limits->result_room_bytes * usable_room_share - instance->room.used(now);
        auto fits = taken.begin();
        for (; fits != taken.end(); ++fits) {
            room -= m_orders.at(fits->order).order.result_bytes;
            if (room < 0) {
                break;
            }
        }
        for (auto it = fits; it != taken.end(); ++it) {
            target.queue.push(m_orders.at(it->order).order, it->piece);
        }
        const bool none_fits = fits == taken.begin() && !taken.empty();
        taken.erase(fits, taken.end());
        if (none_fits) {
            instance->resting_until = now + refusal_rest;
            retry_later(name, refusal_rest);
            continue;
        }
        if (taken.empty() && expired.empty()) {
            // What waits is better made by an instance that is busy now.
            instance->resting_until = now + domain_rest;
            retry_later(name, domain_rest);
            continue;
        }
        if (!taken.empty()) {
            target.next_call = now + call_spacing(*limits, usable_instances(target));
            send_call(name, *limits, instance, std::move(taken));
        }
    }
}

std::shared_ptr<dispatcher::instance_state> dispatcher::free_instance(service_state& target,
                                                                      const piece_limits& limits) {
    const auto now = common::monotonic_clock::now();
    std::shared_ptr<instance_state> best;
    std::shared_ptr<instance_state> ejected;
    for (const auto& [id, it] : target.instances) {
        if (it->leaving || it->calls >= limits.slots || it->resting_until > now) {
            continue;
        }
        if (target.health.state(id, now) == policy::rotation_state::ejected) {
            ejected = it;
            continue;
        }
        if (!best || it->room.used(now) < best->room.used(now)) {
            best = it;
        }
    }
    // An instance that may be bad is better than none.
    return best || usable_instances(target) > 0 ? best : ejected;
}

void dispatcher::send_call(const std::string& name, const piece_limits& limits,
                           const std::shared_ptr<instance_state>& instance,
                           std::vector<queued_piece> pieces) {
    const auto now = common::monotonic_clock::now();
    std::vector<piece_item> items;
    double bytes = 0;
    for (const auto& it : pieces) {
        const auto& order = m_orders.at(it.order).order;
        items.push_back({order.attempt_id, order.stage, it.piece, order.latest - now,
                         order.input_key, order.inputs});
        bytes += order.result_bytes;
    }
    instance->room.reserve(bytes);
    ++instance->calls;
    m_services[name].health.record_dispatch(instance->identity.id, now);
    const auto number = m_next_call++;
    auto& call = m_calls[number];
    call.service = name;
    call.instance = instance;
    call.pieces = std::move(pieces);
    call.sent = now;
    call.limit = std::make_unique<runtime::timer>(m_context.loop());
    call.limit->start(call_time(limits, call.pieces.size()) * call_patience + call_margin,
                      m_context.wrap([this, number] {
                          const auto it = m_calls.find(number);
                          it->second.instance->client->cancel(it->second.id);
                          call_ended(number, http::call_error{http::call_fault::timeout, true,
                                                              "no answer in time"});
                      }));
    call.read_timer = std::make_unique<runtime::timer>(m_context.loop());
    call.read_timer->start(input_read_time,
                           m_context.wrap([this, number] { inputs_read(number); }));
    call.id = instance->client->send(
        m_translate->encode_piece_call(instance->identity.id, items),
        [this, number](const http::call_result& result) { call_ended(number, result); });
}

void dispatcher::inputs_read(std::uint64_t number) {
    const auto call = m_calls.find(number);
    if (call == m_calls.end()) {
        return;
    }
    for (const auto& it : call->second.pieces) {
        const auto order = m_orders.find(it.order);
        if (order == m_orders.end() || order->second.settled ||
            ++order->second.begun < order->second.order.count) {
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
    call.limit->cancel();
    --call.instance->calls;
    double bytes = 0;
    for (const auto& piece : call.pieces) {
        const auto order = m_orders.find(piece.order);
        bytes += order == m_orders.end() ? 0 : order->second.order.result_bytes;
    }
    call.instance->room.unreserve(bytes);
    if (const auto* error = std::get_if<http::call_error>(&result)) {
        call_lost(call, error->detail, !error->sent);
    } else {
        call_answered(call, std::get<http::response>(result));
    }
    dispatch(call.service);
}

void dispatcher::call_answered(call_state& call, const http::response& answer) {
    const auto now = common::monotonic_clock::now();
    const auto head = m_translate->decode_answer_head(answer.status, answer.fields);
    if (answer.status != 200) {
        if (head.not_run) {
            call.instance->resting_until = now + refusal_rest;
            retry_later(call.service, refusal_rest);
        }
        call_lost(call, "status " + std::to_string(answer.status), head.not_run);
        return;
    }
    std::vector<piece_result> results;
    try {
        results = m_translate->decode_piece_answer(answer.body);
    } catch (const common::format_error& e) {
        call_lost(call, e.what(), false);
        return;
    }
    if (results.size() != call.pieces.size()) {
        call_lost(call, "the answer has another number of pieces", false);
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
         {"room_used", std::to_string(static_cast<std::int64_t>(call.instance->room.used(now)))}});
    const auto per_piece = (now - call.sent) / static_cast<std::int64_t>(call.pieces.size());
    m_services[call.service].health.record_success(call.instance->identity.id, per_piece, now);
    for (std::size_t n = 0; n < results.size(); ++n) {
        piece_ended(call, call.pieces[n], results[n]);
    }
}

void dispatcher::call_lost(call_state& call, const std::string& reason, bool not_run) {
    const auto now = common::monotonic_clock::now();
    m_log.warn("Piece call failed.", {{"service", call.service},
                                      {"upstream", call.instance->identity.id},
                                      {"pieces", std::to_string(call.pieces.size())},
                                      {"not_run", not_run ? "yes" : "no"},
                                      {"reason", reason}});
    if (!not_run) {
        m_services[call.service].health.record_failure(call.instance->identity.id, now);
    }
    if (call.instance->resting_until <= now) {
        call.instance->resting_until = now + refusal_rest;
        retry_later(call.service, refusal_rest);
    }
    for (const auto& it : call.pieces) {
        const auto order = m_orders.find(it.order);
        if (order == m_orders.end() || order->second.settled) {
            continue;
        }
        if (!not_run) {
            ++order->second.failures;
        }
        retry_piece(order->second, it.piece);
    }
}

void dispatcher::retry_piece(order_state& state, std::uint32_t piece) {
    if (state.failures > max_failures) {
        settle(state, {order_status::failed, {}, {}});
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
        call.instance->room.keep(result.handle, bytes, now + lifetime);
    }
    if (it == m_orders.end() || it->second.settled) {
        if (result.status == piece_status::made) {
            discard(call.service, {result.handle});
        }
        return;
    }
    auto& state = it->second;
    switch (result.status) {
    case piece_status::made:
        state.handles[piece.piece] = result.handle;
        if (--state.missing == 0) {
            settle(state, {order_status::made, state.handles, {}});
        }
        return;
    case piece_status::expired:
        settle(state, {order_status::expired, {}, {}});
        return;
    case piece_status::input_gone:
        settle(state, {order_status::input_gone, {}, {}});
        return;
    case piece_status::no_room:
        call.instance->resting_until = now + refusal_rest;
        retry_later(call.service, refusal_rest);
        retry_piece(state, piece.piece);
        return;
    case piece_status::failed:
        ++state.failures;
        retry_piece(state, piece.piece);
        return;
    }
}

void dispatcher::settle(order_state& state, order_outcome outcome) {
    const auto now = common::monotonic_clock::now();
    if (outcome.status != order_status::made) {
        std::vector<std::string> made;
        std::copy_if(state.handles.begin(), state.handles.end(), std::back_inserter(made),
                     [](const std::string& it) { return !it.empty(); });
        discard(state.order.service, made);
        m_log.info("Order not made.", {{"attempt", state.order.attempt_id},
                                       {"service", state.order.service},
                                       {"stage", std::to_string(state.order.stage)},
                                       {"status", std::string{common::to_name(outcome.status)}}});
    }
    state.handles.clear();
    m_services[state.order.service].queue.remove(state.order.key);
    state.settled = true;
    state.settled_at = now;
    state.outcome = outcome;
    m_settled.emplace_back(now, state.order.key);
    m_peers.send(order_settled{state.order.key, std::move(outcome)});
    forget_settled();
}

void dispatcher::forget_settled() {
    const auto limit = common::monotonic_clock::now() - memory_of_settled;
    while (!m_settled.empty() && m_settled.front().first < limit) {
        m_orders.erase(m_settled.front().second);
        m_settled.pop_front();
    }
}

void dispatcher::discard(const std::string& service, const std::vector<std::string>& handles) {
    const auto target = m_services.find(service);
    if (target == m_services.end()) {
        return;
    }
    for (const auto& handle : handles) {
        const auto maker = handle.substr(0, handle.find('/'));
        for (auto& [id, it] : target->second.instances) {
            if (http::to_string(it->identity.address) == maker) {
                it->to_release.push_back(handle);
                schedule_release();
                break;
            }
        }
    }
}

void dispatcher::schedule_release() {
    if (m_release_scheduled) {
        return;
    }
    m_release_scheduled = true;
    m_release_timer.start(release_delay, m_context.wrap([this] {
        m_release_scheduled = false;
        send_releases();
    }));
}

void dispatcher::send_releases() {
    for (auto& [name, target] : m_services) {
        for (auto& [id, it] : target.instances) {
            if (it->to_release.empty()) {
                continue;
            }
            auto handles = std::exchange(it->to_release, {});
            const auto message = m_translate->encode_release(id, handles);
            it->client->send(message,
                             [this, name = name, instance = it,
                              handles = std::move(handles)](const http::call_result& result) {
                                 released(name, *instance, handles, result);
                             });
        }
    }
}

void dispatcher::released(const std::string& service, instance_state& instance,
                          const std::vector<std::string>& handles,
                          const http::call_result& result) {
    const auto* answer = std::get_if<http::response>(&result);
    if (answer == nullptr || answer->status != 200) {
        // The results end with their lifetime.
        m_log.info("Results not released.", {{"upstream", instance.identity.id}});
        return;
    }
    for (const auto& it : handles) {
        instance.room.release(it);
    }
    dispatch(service);
}

void dispatcher::retry_later(const std::string& name, common::duration delay) {
    auto& timer = m_retry_timers[name];
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

} // namespace jujubemast::gateway
