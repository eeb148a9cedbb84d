#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "common/random.h"
#include "http/client.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "sidecar/placement_plan.h"
#include "tickets/configuration.h"

namespace jujubemast::sidecar {

/// The configuration has changed, and the placement may have changed with it.
struct placement_changed {
    tickets::configuration_pointer current;
};

using orders_message = std::variant<placement_changed>;

struct orders_options {
    http::endpoint engine;
    std::string pool;
    common::duration interval = std::chrono::seconds{1};
    common::duration spread = std::chrono::seconds{10};
    common::random_hook random = common::system_random();
};

/// Task that reconciles the engine next to this process with the placement of its pool. The
/// engine's state, including the fencing number of its last order, is read immediately before each
/// order.
class orders final : public runtime::task {
public:
    orders(runtime::task_context context, std::shared_ptr<runtime::mailbox<orders_message>> inbox,
           orders_options options);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const placement_changed& message);
    void reconcile();
    void fetch_engine_state();
    void engine_state_received(const http::call_result& result);
    void send_order(const engine_order& order);
    void order_answered(const http::call_result& result);
    void postpone_orders(common::duration time);

    runtime::task_context m_context;
    runtime::inbox<orders_message> m_inbox;
    orders_options m_options;
    http::client m_client;
    runtime::timer m_timer;
    pause_detector m_pause_detector;
    logging::logger m_log{"orders"};
    std::optional<placement_target> m_target;
    common::time_point m_next_order_at;
    common::time_point m_fetch_started_at;
    bool m_call_in_progress = false;
    std::uint64_t m_engine_fencing = 0;
    std::uint64_t m_orders_given = 0;
    std::uint64_t m_orders_refused = 0;
    std::uint64_t m_pauses = 0;
};

} // namespace jujubemast::sidecar
