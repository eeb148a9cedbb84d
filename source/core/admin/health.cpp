#include "admin/health.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::admin {

namespace {

http::response text_response(unsigned status, const std::string& body) {
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, body + "\n"};
}

} // namespace

health::health(runtime::task_context context,
               std::shared_ptr<runtime::mailbox<health_message>> inbox,
               std::map<std::string, std::string> initial_conditions)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_conditions{std::move(
                                                                    initial_conditions)} {}

void health::start() {
    m_inbox.receive(m_context.wrap([this](const health_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
}

void health::close() noexcept {
    m_inbox.close();
}

void health::handle(const set_condition& message) {
    m_conditions[message.name] = message.reason;
}

void health::handle(const health_query& message) const {
    if (message.path == "/livez") {
        message.reply.respond(text_response(200, "live"));
        return;
    }
    const auto reason = not_ready_reason();
    message.reply.respond(reason.empty() ? text_response(200, "ready")
                                         : text_response(503, reason));
}

std::string health::not_ready_reason() const {
    for (const auto& [name, reason] : m_conditions) {
        if (!reason.empty()) {
            return reason;
        }
    }
    return {};
}

boost::json::value health::dump() const {
    const auto reason = not_ready_reason();
    return boost::json::object{{"ready", reason.empty()}, {"reason", reason}};
}

runtime::child_spec make_health(const std::shared_ptr<runtime::mailbox<health_message>>& inbox,
                                std::map<std::string, std::string> initial_conditions) {
    return {"health",
            [inbox, conditions = std::move(initial_conditions)](runtime::task_context context) {
                return std::make_shared<health>(std::move(context), inbox, conditions);
            }};
}

bool forward_health_query(const http::request& request, const http::responder& reply,
                          const runtime::address<health_message>& health) {
    const auto path = http::split_target(request.target).path;
    if (path != "/livez" && path != "/readyz") {
        return false;
    }
    if (!health.send(health_query{std::string{path}, reply})) {
        reply.respond(text_response(503, "the health task does not answer"));
    }
    return true;
}

} // namespace jujubemast::admin
