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

/// Behaviour of a stand-in service. PUT /control/behavior changes it at run time.
struct service_behavior {
    common::duration service_time = std::chrono::milliseconds{5};
    /// Maximum number of calls served at the same time; further calls wait.
    std::int64_t slots = 8;
    /// Accepts calls but never responds.
    bool silent = false;
    /// Status of the responses. With any other than 200 a call is executed but returns no output.
    std::int64_t status = 200;
};

/// Simulates a service without streaming, such as an encoder, a retriever or a reranker. Counts the
/// executions of each request id.
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
    /// Number of executions by request id.
    std::map<std::string, std::uint64_t> m_executions;
};

} // namespace jujubemast::standins
