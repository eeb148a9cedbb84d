#include "entry/entry_tree.h"

#include <map>
#include <memory>
#include <utility>

#include "admin/admin_server.h"
#include "admin/health.h"
#include "entry/caller_request.h"
#include "entry/coordinator.h"
#include "entry/entry_settings.h"
#include "entry/links.h"
#include "entry/membership.h"
#include "tickets/replica.h"

namespace jujubemast::entry {

namespace {

constexpr std::size_t mailbox_capacity = 65536;

using coordinator_mailbox = std::shared_ptr<runtime::mailbox<coordinator_message>>;
using links_mailbox = std::shared_ptr<runtime::mailbox<links_message>>;

using health_address = runtime::address<admin::health_message>;

constexpr const char* configuration_condition = "configuration";
constexpr const char* listener_condition = "listener";

/// Answers health checks, and passes decoded requests to the coordinator.
http::handler make_api_handler(runtime::address<coordinator_message> coordinator,
                               health_address health) {
    return [coordinator = std::move(coordinator), health = std::move(health),
            next_id = std::make_shared<std::uint64_t>(1)](
               const http::request& message,
               const http::responder& reply) -> http::disconnect_hook {
        if (admin::forward_health_query(message, reply, health)) {
            return {};
        }
        auto decoded = decode_caller_request(message);
        if (const auto* fault = std::get_if<problem>(&decoded)) {
            reply.respond(to_response(*fault));
            return {};
        }
        const auto id = (*next_id)++;
        if (!coordinator.send(submit{id, std::get<caller_request>(std::move(decoded)), reply})) {
            reply.respond(to_response({problem_kind::overloaded, common::execution::not_run,
                                       "too many requests wait at this instance", 1}));
            return {};
        }
        return [coordinator, id] { coordinator.send(caller_disconnected{id}); };
    };
}

http::server_options api_options(const settings::values& values, const health_address& health) {
    http::server_options options;
    options.listen = http::parse_endpoint(values.get(entry_settings::api_listen));
    options.limits.max_body_bytes =
        static_cast<std::size_t>(values.get(entry_settings::api_max_body_bytes));
    options.limits.max_connections =
        static_cast<std::size_t>(values.get(entry_settings::api_max_connections));
    options.stop_grace = values.get(entry_settings::api_stop_grace);
    options.on_stopping = [health] {
        health.send(admin::set_condition{listener_condition, "stopping"});
    };
    return options;
}

runtime::child_spec make_replica(const settings::values& values, const http::endpoint& platform,
                                 const coordinator_mailbox& coordinator,
                                 const health_address& health) {
    tickets::replica_options options;
    options.platform = platform;
    options.poll_interval = values.get(entry_settings::platform_poll_interval);
    const runtime::address<coordinator_message> target{coordinator};
    return {"replica", [options, target, health](runtime::task_context context) {
                return std::make_shared<tickets::replica>(
                    std::move(context), options,
                    [target, health](tickets::configuration_pointer it) {
                        target.send(configuration_changed{std::move(it)});
                        health.send(admin::set_condition{configuration_condition, ""});
                    });
            }};
}

runtime::child_spec make_coordinator(const settings::values& values,
                                     const coordinator_mailbox& inbox, const links_mailbox& links) {
    coordinator_hooks hooks;
    hooks.route = policy::make_two_choices(common::system_random());
    hooks.may_retry = make_bounded_retry(
        static_cast<std::uint32_t>(values.get(entry_settings::retry_max_attempts)));
    const auto domain = values.get(entry_settings::failure_domain);
    return {"coordinator", [inbox, links, domain, hooks](runtime::task_context context) {
                return std::make_shared<coordinator>(std::move(context), inbox,
                                                     runtime::address<links_message>{links}, domain,
                                                     hooks);
            }};
}

runtime::child_spec make_links(const settings::values& values, const links_mailbox& inbox,
                               const coordinator_mailbox& coordinator) {
    const link_limits limits{values.get(entry_settings::link_ping_interval),
                             values.get(entry_settings::link_silence_limit)};
    const auto name = values.get(entry_settings::name);
    return {"links", [inbox, coordinator, name, limits](runtime::task_context context) {
                return std::make_shared<links>(std::move(context), inbox,
                                               runtime::address<coordinator_message>{coordinator},
                                               name, limits);
            }};
}

} // namespace

std::vector<runtime::child_spec> make_entry_tree(const runtime::executor& loop,
                                                 const runtime::process_hooks& process,
                                                 const settings::values& values) {
    const auto coordinator_inbox =
        runtime::make_mailbox<coordinator_message>(loop, mailbox_capacity);
    const auto links_inbox = runtime::make_mailbox<links_message>(loop, mailbox_capacity);
    const auto platform = http::parse_endpoint(values.get(entry_settings::platform_address));
    const auto health_inbox = runtime::make_mailbox<admin::health_message>(loop, mailbox_capacity);
    const health_address health{health_inbox};

    // A failed child and those after it are restarted, so each child stands after the ones whose
    // state it depends on being complete.
    std::vector<runtime::child_spec> children;
    children.push_back({"health", [health_inbox](runtime::task_context it) {
                            return std::make_shared<admin::health>(
                                std::move(it), health_inbox,
                                std::map<std::string, std::string>{
                                    {configuration_condition, "no configuration is known yet"}});
                        }});
    children.push_back(admin::make_admin_server(
        http::parse_endpoint(values.get(entry_settings::admin_listen)), health,
        {process.dump, [coordinator_inbox](const admin::metrics_query& it) {
             return coordinator_inbox->post(it);
         }}));
    children.push_back(make_coordinator(values, coordinator_inbox, links_inbox));
    children.push_back(make_links(values, links_inbox, coordinator_inbox));
    children.push_back(http::make_server(
        "api", api_options(values, health),
        make_api_handler(runtime::address<coordinator_message>{coordinator_inbox}, health)));
    const auto interval = values.get(entry_settings::membership_poll_interval);
    children.push_back({"membership", [platform, interval, links_inbox](runtime::task_context it) {
                            return std::make_shared<membership>(
                                std::move(it), platform, interval,
                                runtime::address<links_message>{links_inbox});
                        }});
    children.push_back(make_replica(values, platform, coordinator_inbox, health));
    return children;
}

} // namespace jujubemast::entry
