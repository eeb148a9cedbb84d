#include "standins/service_messages.h"

#include <memory>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::standins {

runtime::child_spec make_forwarding_server(const std::string& name, const http::endpoint& listen,
                                           runtime::address<service_message> target) {
    auto next_id = std::make_shared<std::uint64_t>(1);
    return http::make_server(name, {.listen = listen},
                             [target = std::move(target),
                              next_id](const http::request& request,
                                       const http::responder& reply) -> http::disconnect_hook {
                                 const auto id = (*next_id)++;
                                 if (!target.send(http_call{id, request, reply})) {
                                     reply.respond({503, {}, "overloaded\n"});
                                     return {};
                                 }
                                 return [target, id] { target.send(client_disconnected{id}); };
                             });
}

boost::json::object parse_object(const std::string& text) {
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    if (ec || !value.is_object()) {
        return {};
    }
    return std::move(value.as_object());
}

std::int64_t integer_member(const boost::json::object& object, std::string_view key,
                            std::int64_t fallback) {
    const auto* it = object.if_contains(key);
    return it != nullptr && it->is_number() ? it->to_number<std::int64_t>() : fallback;
}

std::string string_member(const boost::json::object& object, std::string_view key) {
    const auto* it = object.if_contains(key);
    return it != nullptr && it->is_string() ? std::string{it->as_string()} : std::string{};
}

} // namespace jujubemast::standins
