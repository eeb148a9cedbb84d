#include "admin/admin_server.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::admin {

namespace {

http::response text_response(unsigned status, std::string body) {
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

http::response answer(const http::request& request, const admin_hooks& hooks) {
    if (request.method != "GET") {
        return text_response(405, "only GET is supported\n");
    }
    const auto path = http::split_target(request.target).path;
    if (path == "/dump") {
        return http::json_response(200, boost::json::serialize(hooks.dump()) + "\n");
    }
    if (path == "/metrics" && hooks.metrics) {
        return text_response(200, hooks.metrics());
    }
    return text_response(404, "paths: /livez /readyz /dump /metrics\n");
}

} // namespace

runtime::child_spec make_admin_server(const http::endpoint& listen,
                                      runtime::address<health_message> health, admin_hooks hooks) {
    return http::make_server(
        "admin", {.listen = listen, .limits = {.max_connections = 64}},
        [health = std::move(health), hooks = std::move(hooks)](
            const http::request& request, const http::responder& reply) -> http::disconnect_hook {
            const bool forwarded = forward_health_query(request, reply, health) ||
                                   (hooks.query && hooks.query(request, reply));
            if (!forwarded) {
                reply.respond(answer(request, hooks));
            }
            return {};
        });
}

} // namespace jujubemast::admin
