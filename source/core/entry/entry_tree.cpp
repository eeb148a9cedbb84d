#include "entry/entry_tree.h"

#include <map>
#include <memory>
#include <utility>

#include "admin/admin_server.h"
#include "admin/health.h"
#include "entry/caller_request.h"
#include "entry/claims.h"
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
using claims_mailbox = std::shared_ptr<runtime::mailbox<claims_message>>;

using replica_mailbox = std::shared_ptr<runtime::mailbox<tickets::replica_message>>;
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
        if (const auto* error = std::get_if<problem>(&decoded)) {
            reply.respond(to_response(*error));
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

/// Answers GET /v1/revision with the revisions of this process and of all linked sidecars.
admin::query_hook make_revision_handler(const links_mailbox& links) {
    return [target = runtime::address<links_message>{links}](const http::request& message,
                                                             const http::responder& reply) {
        return http::split_target(message.target).path == "/v1/revision" &&
               target.send(revision_query{reply});
    };
}

http::server_options api_options(const settings::values& values, const health_address& health) {
    http::server_options options;
    options.listen = http::parse_endpoint(values.get(entry_settings::api_listen));
    options.limits.max_body_bytes =
        static_cast<std::size_t>(values.get(entry_settings::api_max_body_bytes));
    options.limits.max_connections =
        static_cast<std::size_t>(values.get(entry_settings::api_max_connections));
    options.limits.read_timeout = values.get(entry_settings::api_read_timeout);
    options.limits.write_timeout = values.get(entry_settings::api_write_timeout);
    options.limits.idle_timeout = values.get(entry_settings::api_idle_timeout);
    options.stop_grace = values.get(entry_settings::api_stop_grace);
    options.on_stopping = [health] {
        health.send(admin::set_condition{listener_condition, "stopping"});
    };
    return options;
}

runtime::child_spec make_replica(const settings::values& values, const replica_mailbox& inbox,
                                 const coordinator_mailbox& coordinator, const links_mailbox& links,
                                 const health_address& health) {
    tickets::replica_options options;
    options.platform = http::parse_endpoint(values.get(entry_settings::platform_address));
    options.poll_interval = values.get(entry_settings::platform_poll_interval);
    const runtime::address<coordinator_message> coordinator_address{coordinator};
    const runtime::address<links_message> links_address{links};
    tickets::replica_hooks hooks;
    hooks.publish = [coordinator_address](tickets::configuration_pointer it) {
        coordinator_address.send(configuration_changed{std::move(it)});
    };
    hooks.announce = [links_address](std::uint64_t revision) {
        links_address.send(announce_revision{revision});
    };
    hooks.send = [links_address](const std::string& peer, protocol::message content) {
        links_address.send(send_work{peer, std::move(content)});
    };
    hooks.set_not_ready_reason = [health](const std::string& reason) {
        health.send(admin::set_condition{configuration_condition, reason});
    };
    const auto state = std::make_shared<tickets::replica_state>(tickets::replica_state_limits{});
    return {"replica", [=](runtime::task_context context) {
                return std::make_shared<tickets::replica>(std::move(context), inbox, state, options,
                                                          hooks);
            }};
}

runtime::child_spec make_coordinator(const settings::values& values,
                                     const coordinator_mailbox& inbox, const links_mailbox& links,
                                     const claims_mailbox& claims) {
    coordinator_hooks hooks;
    hooks.route = policy::make_routing(
        common::from_name<policy::routing_policy>(values.get(entry_settings::routing_policy))
            .value(),
        common::system_random());
    hooks.budget_retries = values.get(entry_settings::retry_budget);
    hooks.hedge = values.get(entry_settings::hedge_enabled);
    hooks.may_retry = make_bounded_retry(
        static_cast<std::uint32_t>(values.get(entry_settings::retry_max_attempts)));
    const auto domain = values.get(entry_settings::failure_domain);
    coordinator_limits limits;
    limits.max_requests =
        static_cast<std::size_t>(values.get(entry_settings::requests_max_in_progress));
    limits.max_outcome_bytes =
        static_cast<std::size_t>(values.get(entry_settings::claims_max_outcome_bytes));
    return {"coordinator",
            [inbox, links, claims, domain, hooks, limits](runtime::task_context context) {
                return std::make_shared<coordinator>(
                    std::move(context), inbox, runtime::address<links_message>{links},
                    runtime::address<claims_message>{claims}, domain, hooks, limits);
            }};
}

runtime::child_spec make_claims(const settings::values& values, const http::endpoint& platform,
                                const claims_mailbox& inbox,
                                const coordinator_mailbox& coordinator) {
    claim_limits limits;
    limits.max_wait = values.get(entry_settings::claims_wait);
    limits.flush_delay = values.get(entry_settings::claims_flush_delay);
    limits.max_group = static_cast<std::size_t>(values.get(entry_settings::claims_max_group));
    return {"claims", [inbox, coordinator, platform, limits](runtime::task_context context) {
                return std::make_shared<claims>(std::move(context), inbox,
                                                runtime::address<coordinator_message>{coordinator},
                                                platform, limits);
            }};
}

runtime::child_spec make_links(const settings::values& values, const links_mailbox& inbox,
                               const coordinator_mailbox& coordinator,
                               const replica_mailbox& replica) {
    link_limits limits;
    limits.monitor.active_interval = values.get(entry_settings::link_ping_interval);
    limits.monitor.idle_interval = values.get(entry_settings::link_idle_interval);
    limits.monitor.silence_limit = values.get(entry_settings::link_silence_limit);
    limits.subset_size = static_cast<std::size_t>(values.get(entry_settings::link_subset_size));
    const link_identity identity{values.get(entry_settings::name),
                                 values.get(entry_settings::failure_domain)};
    return {"links",
            [inbox, coordinator, replica, identity, limits](runtime::task_context context) {
                return std::make_shared<links>(
                    std::move(context), inbox, runtime::address<coordinator_message>{coordinator},
                    runtime::address<tickets::replica_message>{replica}, identity, limits);
            }};
}

} // namespace

std::vector<runtime::child_spec> make_entry_tree(const runtime::executor& loop,
                                                 const runtime::process_hooks& process,
                                                 const settings::values& values) {
    const auto coordinator_inbox =
        runtime::make_mailbox<coordinator_message>(loop, mailbox_capacity);
    const auto links_inbox = runtime::make_mailbox<links_message>(loop, mailbox_capacity);
    const auto claims_inbox = runtime::make_mailbox<claims_message>(loop, mailbox_capacity);
    const auto platform = http::parse_endpoint(values.get(entry_settings::platform_address));
    const auto health_inbox = runtime::make_mailbox<admin::health_message>(loop, mailbox_capacity);
    const auto replica_inbox =
        runtime::make_mailbox<tickets::replica_message>(loop, mailbox_capacity);
    const health_address health{health_inbox};

    // When a child fails, it and all children after it are restarted. Each child is therefore
    // listed after the children whose complete state it depends on.
    std::vector<runtime::child_spec> children;
    children.push_back(admin::make_health(
        health_inbox, {{configuration_condition, "no configuration is known yet"}}));
    children.push_back(admin::make_admin_server(
        http::parse_endpoint(values.get(entry_settings::admin_listen)), health,
        {process.dump,
         [coordinator_inbox](const admin::metrics_query& it) {
             return coordinator_inbox->post(it);
         },
         make_revision_handler(links_inbox)}));
    children.push_back(make_claims(values, platform, claims_inbox, coordinator_inbox));
    children.push_back(make_coordinator(values, coordinator_inbox, links_inbox, claims_inbox));
    children.push_back(make_links(values, links_inbox, coordinator_inbox, replica_inbox));
    children.push_back(http::make_server(
        "api", api_options(values, health),
        make_api_handler(runtime::address<coordinator_message>{coordinator_inbox}, health)));
    const auto interval = values.get(entry_settings::membership_poll_interval);
    const auto seeds = split_addresses(values.get(entry_settings::membership_static));
    children.push_back(
        {"membership", [platform, interval, seeds, links_inbox](runtime::task_context it) {
             return std::make_shared<membership>(std::move(it), platform, interval, seeds,
                                                 runtime::address<links_message>{links_inbox});
         }});
    children.push_back(make_replica(values, replica_inbox, coordinator_inbox, links_inbox, health));
    return children;
}

} // namespace jujubemast::entry
