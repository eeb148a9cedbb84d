#include "sidecar/orders.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::sidecar {

namespace {

// An order is sent only if the engine's state was requested at most this long ago. A longer time
// means that this process was paused and another process may have sent orders since.
constexpr std::chrono::milliseconds max_state_age{1000};

std::optional<engine_state> parse_state(const http::call_result& result) {
    const auto* response = std::get_if<http::response>(&result);
    if (response == nullptr || response->status != 200) {
        return std::nullopt;
    }
    try {
        const auto value = boost::json::parse(response->body);
        engine_state state;
        for (const auto& it : value.at("models").as_array()) {
            state.models.emplace(it.as_string());
        }
        state.role = std::string{value.at("role").as_string()};
        state.fencing = value.at("fencing").to_number<std::uint64_t>();
        return state;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string to_body(const engine_order& order) {
    boost::json::array models;
    for (const auto& it : order.models) {
        models.push_back(boost::json::string{it});
    }
    return boost::json::serialize(boost::json::object{
        {"models", std::move(models)}, {"role", order.role}, {"fencing", order.fencing}});
}

} // namespace

orders::orders(runtime::task_context context,
               std::shared_ptr<runtime::mailbox<orders_message>> inbox, orders_options options)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_options{std::move(options)},
      m_client{m_context, m_options.engine, {.head_timeout = std::chrono::seconds{5}}},
      m_timer{m_context.loop()}, m_pause_detector{m_options.interval + max_state_age} {}

void orders::start() {
    m_inbox.receive(m_context.wrap([this](const orders_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    reconcile();
}

void orders::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_client.close();
}

void orders::handle(const placement_changed& message) {
    const auto* placement = message.current->placement_of(m_options.pool);
    if (placement == nullptr) {
        m_target.reset();
        return;
    }
    const bool same =
        m_target && m_target->models == placement->models && m_target->role == placement->role;
    m_target = {placement->models, placement->role, message.current->revision};
    if (!same) {
        // The random delay keeps the engines of a pool from loading models at the same time.
        const auto spread =
            std::chrono::duration_cast<std::chrono::microseconds>(m_options.spread).count();
        postpone_orders(std::chrono::microseconds{
            common::uniform_below(m_options.random, static_cast<std::uint64_t>(spread) + 1)});
    }
}

void orders::postpone_orders(common::duration time) {
    m_next_order_at = common::monotonic_clock::now() + time;
}

void orders::reconcile() {
    const auto now = common::monotonic_clock::now();
    if (m_pause_detector.observe(now)) {
        // The configuration may be outdated as well. Heartbeats announce a newer one within this
        // time.
        ++m_pauses;
        postpone_orders(m_options.interval);
    }
    if (m_target && !m_call_in_progress && now >= m_next_order_at) {
        fetch_engine_state();
    }
    m_timer.start(m_options.interval, m_context.wrap([this] { reconcile(); }));
}

void orders::fetch_engine_state() {
    m_call_in_progress = true;
    m_fetch_started_at = common::monotonic_clock::now();
    m_client.send({"GET", "/v1/load", {}, {}},
                  [this](const http::call_result& result) { engine_state_received(result); });
}

void orders::engine_state_received(const http::call_result& result) {
    m_call_in_progress = false;
    const auto state = parse_state(result);
    if (!state || !m_target) {
        return;
    }
    m_engine_fencing = state->fencing;
    const auto now = common::monotonic_clock::now();
    if (now - m_fetch_started_at > max_state_age || now < m_next_order_at) {
        return;
    }
    if (const auto order = next_order(*state, *m_target)) {
        send_order(*order);
    }
}

void orders::send_order(const engine_order& order) {
    m_call_in_progress = true;
    ++m_orders_given;
    m_log.info("Sending an order to the engine.", {{"fencing", std::to_string(order.fencing)},
                                                   {"models", std::to_string(order.models.size())},
                                                   {"role", order.role}});
    m_client.send({"POST", "/v1/orders", {{"Content-Type", "application/json"}}, to_body(order)},
                  [this](const http::call_result& result) { order_answered(result); },
                  {.idempotent = false});
}

void orders::order_answered(const http::call_result& result) {
    m_call_in_progress = false;
    const auto* response = std::get_if<http::response>(&result);
    if (response == nullptr || response->status == 200) {
        // If the response was lost, the next read shows whether the engine has accepted the order.
        return;
    }
    ++m_orders_refused;
    m_log.warn("The engine refused an order.", {{"status", std::to_string(response->status)}});
    if (response->status == 429) {
        const std::string after{http::find_header(response->fields, "Retry-After")};
        const auto seconds = std::max(1L, std::strtol(after.c_str(), nullptr, 10));
        postpone_orders(std::chrono::seconds{seconds});
    }
}

boost::json::value orders::dump() const {
    return boost::json::object{{"pool", m_options.pool},
                               {"target_revision", m_target ? m_target->revision : 0},
                               {"engine_fencing", m_engine_fencing},
                               {"orders_given", m_orders_given},
                               {"orders_refused", m_orders_refused},
                               {"pauses", m_pauses}};
}

} // namespace jujubemast::sidecar
