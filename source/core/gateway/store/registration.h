#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/adapter.h"
#include "http/client.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Keeps the row of this gateway in the store, so that the other gateways find it. Belongs to one
/// task, whose client it uses.
class registration {
public:
    /// `on_era` is called with the era of the store that a response names. May be empty.
    registration(const runtime::task_context& context, http::client& client,
                 std::shared_ptr<const adapter> platform_adapter, gateway_record self,
                 std::function<void(std::uint64_t era)> on_era = {});

    /// Writes the row, and repeats the call until it succeeds.
    void begin();

    /// Writes the row again at once if the call in progress was probably lost, because the store
    /// has responded to a later one.
    void hasten();

    /// Writes the row again if the store holds none of this gateway or one with other content.
    /// `stored` is that row, or null.
    void check(const gateway_record* stored);

    /// Deletes the row. Calls `done` also if that fails.
    void end(const runtime::stop_done& done);

    void close() noexcept { m_retry_timer.cancel(); }

    [[nodiscard]] bool is_registered() const { return m_registered; }

private:
    void call_ended(const http::call_result& result);

    runtime::task_context m_context;
    http::client& m_client;
    std::shared_ptr<const adapter> m_adapter;
    gateway_record m_self;
    std::function<void(std::uint64_t era)> m_on_era;
    runtime::timer m_retry_timer;
    bool m_registered = false;
    /// Whether the row is being deleted for good.
    bool m_ending = false;
    /// The call in progress, and when the last one was sent.
    std::optional<http::call_id> m_call;
    common::time_point m_sent;
    logging::logger m_log{"catalog"};
};

} // namespace jujubemast::gateway::store
