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

/// Sets a readiness condition. An empty reason means that the condition is met.
struct set_condition {
    std::string name;
    std::string reason;
};

/// A request for /livez or /readyz that is to be responded to.
struct health_query {
    std::string path;
    http::responder reply;
};

using health_message = std::variant<set_condition, health_query>;

/// Owns the readiness conditions and responds to health checks. A process is ready when all
/// conditions are met.
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

/// Returns the child specification of the health task with its initial readiness conditions.
runtime::child_spec make_health(const std::shared_ptr<runtime::mailbox<health_message>>& inbox,
                                std::map<std::string, std::string> initial_conditions = {});

/// Forwards a health check to the health task. Returns false when the request is not a health
/// check.
bool forward_health_query(const http::request& request, const http::responder& reply,
                          const runtime::address<health_message>& health);

} // namespace jujubemast::admin
