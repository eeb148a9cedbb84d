#include "admin/admin_server.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::admin {

namespace {

http::response text_response(unsigned status, std::string body) {
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

http::response respond_directly(const http::request& request, const admin_hooks& hooks) {
    if (request.method != "GET") {
        return text_response(405, "only GET is supported\n");
    }
    const auto path = http::split_target(request.target).path;
    if (path == "/dump") {
        return http::json_response(200, boost::json::serialize(hooks.dump()) + "\n");
    }
    return text_response(404, "paths: /livez /readyz /dump /metrics\n");
}

/// Forwards a request for metrics to the task that owns them. Returns false for other requests.
bool forward_metrics_query(const http::request& request, const http::responder& reply,
                           const admin_hooks& hooks) {
    if (!hooks.metrics || request.method != "GET" ||
        http::split_target(request.target).path != "/metrics") {
        return false;
    }
    if (!hooks.metrics({reply})) {
        reply.respond(text_response(503, "the task that owns the metrics does not answer\n"));
    }
    return true;
}

} // namespace

http::server_limits default_admin_limits() {
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    http::server_limits limits;
    limits.max_body_bytes = mebibyte / 16;
    limits.max_connections = 64;
    limits.request_buffer_bytes = mebibyte;
    limits.input_buffer_bytes = mebibyte;
    limits.output_buffer_bytes = 64 * mebibyte;
    return limits;
}

runtime::child_spec make_admin_server(const http::endpoint& listen,
                                      runtime::address<health_message> health, admin_hooks hooks,
                                      const http::server_limits& limits) {
    return http::make_server(
        "admin", {.listen = listen, .limits = limits},
        [health = std::move(health), hooks = std::move(hooks)](
            const http::request& request, const http::responder& reply) -> http::disconnect_hook {
            const bool forwarded = forward_health_query(request, reply, health) ||
                                   forward_metrics_query(request, reply, hooks) ||
                                   (hooks.query && hooks.query(request, reply));
            if (!forwarded) {
                reply.respond(respond_directly(request, hooks));
            }
            return {};
        });
}

} // namespace jujubemast::admin
