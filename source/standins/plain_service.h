#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "standins/service_messages.h"

namespace jujubemast::standins {

/// How a stand-in service behaves; changed by PUT /control/behavior.
struct service_behavior {
    common::duration service_time = std::chrono::milliseconds{5};
    /// Calls served at the same time; others wait.
    std::int64_t slots = 8;
    /// Calls are accepted and never answered.
    bool silent = false;
    /// Calls are executed and then answered with this status, unless it is 200.
    std::int64_t status = 200;
};

/// Stands in for an encoder, retriever, reranker or another plain service. Counts the executions
/// of each request id.
class plain_service final : public runtime::task {
public:
    plain_service(runtime::task_context context,
                  std::shared_ptr<runtime::mailbox<service_message>> inbox,
                  service_behavior behavior);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct execution {
        http_call call;
        std::unique_ptr<runtime::timer> timer;
    };

    void handle_call(http_call call);
    void serve_control(const http_call& call, std::string_view resource);
    void start_waiting();
    void execute(http_call call);
    void complete(std::uint64_t id);

    runtime::task_context m_context;
    runtime::inbox<service_message> m_inbox;
    service_behavior m_behavior;
    std::deque<http_call> m_waiting;
    std::map<std::uint64_t, execution> m_running;
    std::map<std::string, std::uint64_t> m_executions;
};

} // namespace jujubemast::standins
