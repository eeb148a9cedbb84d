#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "http/server.h"
#include "runtime/mailbox.h"
#include "runtime/supervisor.h"
#include "runtime/task.h"

namespace jujubemast::admin {

/// States a condition of readiness; an empty reason means that it is satisfied.
struct set_condition {
    std::string name;
    std::string reason;
};

/// A health check of /livez or /readyz that waits for its answer.
struct health_query {
    std::string path;
    http::responder reply;
};

using health_message = std::variant<set_condition, health_query>;

/// Owns the conditions of readiness and answers health checks. A process is ready when every
/// condition is satisfied.
class health final : public runtime::task {
public:
    health(runtime::task_context context, std::shared_ptr<runtime::mailbox<health_message>> inbox,
           std::map<std::string, std::string> initial_conditions);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const set_condition& message);
    void handle(const health_query& message) const;
    [[nodiscard]] std::string not_ready_reason() const;

    runtime::task_context m_context;
    runtime::inbox<health_message> m_inbox;
    std::map<std::string, std::string> m_conditions;
};

/// Describes the health task with its conditions of readiness at the start.
runtime::child_spec make_health(const std::shared_ptr<runtime::mailbox<health_message>>& inbox,
                                std::map<std::string, std::string> initial_conditions = {});

/// Passes a health check on. Returns false when the request is not one.
bool forward_health_query(const http::request& request, const http::responder& reply,
                          const runtime::address<health_message>& health);

} // namespace jujubemast::admin
