#include "standins/plain_service.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "standins/stage_content.h"

namespace jujubemast::standins {

plain_service::plain_service(runtime::task_context context,
                             std::shared_ptr<runtime::mailbox<service_message>> inbox,
                             service_behavior behavior)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_behavior{behavior} {}

void plain_service::start() {
    m_inbox.receive(m_context.wrap([this](service_message message) {
        if (auto* call = std::get_if<http_call>(&message)) {
            handle_call(std::move(*call));
            return;
        }
        // A call in progress completes after its client has disconnected; a queued one is dropped.
        const auto id = std::get<client_disconnected>(message).id;
        std::erase_if(m_waiting, [id](const http_call& it) { return it.id == id; });
    }));
}

void plain_service::close() noexcept {
    m_inbox.close();
    m_running.clear();
}

void plain_service::handle_call(http_call call) {
    const auto segments = http::path_segments(http::split_target(call.request.target).path);
    if (segments.size() == 2 && segments[0] == "control") {
        serve_control(call, segments[1]);
        return;
    }
    if (segments.size() != 2 || segments[0] != "v1") {
        call.reply.respond({404, {}, "unknown path\n"});
        return;
    }
    m_waiting.push_back(std::move(call));
    start_waiting();
}

void plain_service::serve_control(const http_call& call, std::string_view resource) {
    if (resource == "behavior" && call.request.method == "PUT") {
        const auto body = parse_object(call.request.body);
        m_behavior.service_time =
            std::chrono::milliseconds{integer_member(body, "service_time_ms", 5)};
        m_behavior.slots = integer_member(body, "slots", 8);
        m_behavior.silent = integer_member(body, "silent", 0) != 0;
        m_behavior.status = integer_member(body, "status", 200);
        call.reply.respond({204, {}, {}});
        return;
    }
    if (resource == "executions") {
        boost::json::object counts;
        for (const auto& [id, n] : m_executions) {
            counts[id] = n;
        }
        call.reply.respond(http::json_response(200, boost::json::serialize(counts)));
        return;
    }
    call.reply.respond({404, {}, "unknown control\n"});
}

void plain_service::start_waiting() {
    while (!m_waiting.empty() && static_cast<std::int64_t>(m_running.size()) < m_behavior.slots) {
        auto call = std::move(m_waiting.front());
        m_waiting.pop_front();
        execute(std::move(call));
    }
}

void plain_service::execute(http_call call) {
    ++m_executions[std::string{http::find_header(call.request.fields, "X-Request-Id")}];
    const auto id = call.id;
    auto& added = m_running[id];
    added = {std::move(call), std::make_unique<runtime::timer>(m_context.loop())};
    if (m_behavior.silent) {
        return;
    }
    added.timer->start(m_behavior.service_time, m_context.wrap([this, id] { complete(id); }));
}

void plain_service::complete(std::uint64_t id) {
    const auto node = m_running.extract(id);
    const auto& call = node.mapped().call;
    const auto body = parse_object(call.request.body);
    const auto path = http::split_target(call.request.target).path;
    const auto operation = http::path_segments(path).back();
    if (m_behavior.status != 200) {
        call.reply.respond({static_cast<unsigned>(m_behavior.status), {}, "failed\n"});
    } else {
        const auto output =
            service_output(operation, string_member(body, "input"), string_member(body, "context"));
        call.reply.respond(http::json_response(
            200, boost::json::serialize(boost::json::object{{"output", output}})));
    }
    start_waiting();
}

boost::json::value plain_service::dump() const {
    return boost::json::object{{"waiting", m_waiting.size()}, {"running", m_running.size()}};
}

} // namespace jujubemast::standins
