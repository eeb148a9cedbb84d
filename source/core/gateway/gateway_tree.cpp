#include "gateway/gateway_tree.h"

#include <algorithm>
#include <utility>

#include "admin/admin_server.h"
#include "admin/health.h"
#include "common/random.h"
#include "gateway/gateway_settings.h"
#include "gateway/listener_limits.h"
#include "gateway/peers/peers.h"
#include "gateway/region_table.h"
#include "gateway/requests/forwarder.h"
#include "gateway/stages/dispatcher.h"
#include "gateway/stop_schedule.h"
#include "gateway/store/catalog.h"
#include "gateway/store/stream_registry.h"

namespace jujubemast::gateway {

namespace {

constexpr std::size_t mailbox_capacity = 16384;
constexpr const char* configuration_condition = "configuration";
constexpr const char* listener_condition = "listener";

using forwarder_mailbox = std::shared_ptr<runtime::mailbox<forwarder_message>>;
using dispatcher_mailbox = std::shared_ptr<runtime::mailbox<dispatcher_message>>;
using catalog_mailbox = std::shared_ptr<runtime::mailbox<catalog_message>>;
using streams_mailbox = std::shared_ptr<runtime::mailbox<stream_registry_message>>;
using peers_mailbox = std::shared_ptr<runtime::mailbox<peers_message>>;
using health_address = runtime::address<admin::health_message>;

/// Passes requests of callers to the forwarder.
http::handler make_caller_handler(const forwarder_mailbox& inbox,
                                  const std::shared_ptr<const adapter>& platform_adapter) {
    return [target = runtime::address<forwarder_message>{inbox}, platform_adapter,
            next_id = std::make_shared<std::uint64_t>(1)](
               http::request message, const http::responder& reply) -> http::disconnect_hook {
        const auto id = (*next_id)++;
        if (!target.send(request_received{id, std::move(message), reply})) {
            reply.respond(platform_adapter->make_refusal(
                503, "too many requests wait at this instance", std::chrono::milliseconds{500}));
            return {};
        }
        return [target, id] { target.send(caller_disconnected{id}); };
    };
}

/// Forwards GET /route, which explains where a request would go now.
admin::query_hook make_route_handler(const forwarder_mailbox& inbox) {
    return [inbox](const http::request& message, const http::responder& reply) {
        const auto [path, query] = http::split_target(message.target);
        return path == "/route" && message.method == "GET" &&
               inbox->post(route_query{std::string{query}, reply});
    };
}

/// Answers readiness checks.
http::handler make_ready_handler(const health_address& health) {
    return [health](const http::request& /*message*/,
                    const http::responder& reply) -> http::disconnect_hook {
        if (!health.send(admin::health_query{"/readyz", reply})) {
            reply.respond({503, {}, "the health task does not answer\n"});
        }
        return {};
    };
}

runtime::child_spec make_caller_server(const settings::values& values,
                                       const stop_schedule& schedule,
                                       const forwarder_mailbox& inbox,
                                       const std::shared_ptr<const adapter>& platform_adapter,
                                       const health_address& health, const peers_mailbox& peers,
                                       const dispatcher_mailbox& dispatcher,
                                       const std::shared_ptr<configuration_pointer>& current) {
    http::server_options options;
    options.listen = http::parse_endpoint(values.get(gateway_settings::callers_listen));
    options.limits = caller_server_limits(values);
    options.stop_grace = schedule.accept;
    options.stop_read_limit = schedule.limit - stop_margin;
    options.stop_limit = schedule.limit;
    options.current_limits = [current, limits = options.limits] {
        return limits_of_requests(limits, *current);
    };
    options.on_stopping = [=] {
        health.send(admin::set_condition{listener_condition, "stopping"});
        const shutdown_started message{common::monotonic_clock::now() + schedule.limit};
        inbox->post(message);
        peers->post(message);
        dispatcher->post(message);
    };
    return http::make_server("callers", options, make_caller_handler(inbox, platform_adapter));
}

std::function<std::string(const std::string&)> make_region_hook(const settings::values& values) {
    auto regions = parse_region_table(values.get(gateway_settings::regions));
    const auto own_region = values.get(gateway_settings::region);
    if (!own_region.empty()) {
        regions.emplace(values.get(gateway_settings::failure_domain), own_region);
    }
    return [regions = std::move(regions)](const std::string& domain) {
        const auto it = regions.find(domain);
        return it == regions.end() ? std::string{} : it->second;
    };
}

store::catalog_hooks make_catalog_hooks(const forwarder_mailbox& forwarder,
                                        const dispatcher_mailbox& dispatcher,
                                        const streams_mailbox& streams, const peers_mailbox& peers,
                                        const health_address& health,
                                        const std::shared_ptr<configuration_pointer>& current) {
    store::catalog_hooks hooks;
    hooks.publish = [=](const discovery_update& it) {
        *current = it.configuration;
        forwarder->post(it);
        dispatcher->post(it);
        streams->post(it);
    };
    hooks.confirm_upstreams = [=](const upstreams_confirmed& it) { streams->post(it); };
    hooks.confirm_configuration = [=](const configuration_confirmed& it) { forwarder->post(it); };
    hooks.confirm_gateways = [=](const gateway_names_confirmed& it) { forwarder->post(it); };
    hooks.confirm_drains = [=](const drains_confirmed& it) {
        forwarder->post(it);
        dispatcher->post(it);
    };
    hooks.publish_gateways = [=](const std::vector<gateway_record>& it) {
        peers->post(gateways_changed{it});
        gateway_names_changed names;
        std::transform(it.begin(), it.end(), std::back_inserter(names.names),
                       [](const gateway_record& known) { return known.name; });
        for (const auto& known : it) {
            ++names.per_domain[known.failure_domain];
        }
        forwarder->post(std::move(names));
    };
    hooks.relay = [peers](const table_relay& it) { peers->post(it); };
    hooks.announce_drains = [peers](const domain_drains& it) { peers->post(it); };
    hooks.set_not_ready_reason = [health](const std::string& reason) {
        health.send(admin::set_condition{configuration_condition, reason});
    };
    return hooks;
}

policy::transfer_terms transfer_terms_of(const settings::values& values) {
    policy::transfer_terms terms;
    terms.price_ms_per_gb = values.get(gateway_settings::placement_price);
    return terms;
}

requests::forwarder_options make_forwarder_options(const settings::values& values,
                                                   const peers_mailbox& peers) {
    policy::load_aware_options routing;
    // The margin is small because an engine serves the requests of all gateways, and each gateway
    // counts only its own.
    routing.affinity_margin = 0.1;
    routing.slow_start = instances::instance_warm_up;
    requests::forwarder_options options;
    options.name = values.get(gateway_settings::name);
    options.announce_leaving = [peers](const instance_leaving& it) { peers->post(it); };
    options.failure_domain = values.get(gateway_settings::failure_domain);
    options.retries = {values.get(gateway_settings::retry_ratio),
                       values.get(gateway_settings::retry_reserve),
                       values.get(gateway_settings::retry_window)};
    options.staleness_limit =
        std::max(values.get(gateway_settings::store_staleness_limit), store::min_staleness_limit);
    options.response_buffer_bytes = shares_of_memory(values).response_bodies;
    options.random = common::system_random();
    options.route = policy::make_load_aware(routing, common::system_random());
    options.transfer = transfer_terms_of(values);
    if (options.transfer.enabled()) {
        options.place = policy::make_placement_by_cost(options.transfer);
        options.overflow = policy::make_gradual_overflow({});
    }
    return options;
}

} // namespace

std::vector<runtime::child_spec>
make_gateway_tree(const runtime::executor& loop, const runtime::process_hooks& process,
                  const settings::values& values,
                  const std::shared_ptr<const adapter>& platform_adapter) {
    const auto forwarder_inbox = runtime::make_mailbox<forwarder_message>(loop, mailbox_capacity);
    const auto dispatcher_inbox = runtime::make_mailbox<dispatcher_message>(loop, mailbox_capacity);
    const auto catalog_inbox = runtime::make_mailbox<catalog_message>(loop, mailbox_capacity);
    const auto streams_inbox =
        runtime::make_mailbox<stream_registry_message>(loop, mailbox_capacity);
    const auto peers_inbox = runtime::make_mailbox<peers_message>(loop, mailbox_capacity);
    const auto health_inbox = runtime::make_mailbox<admin::health_message>(loop, mailbox_capacity);
    const health_address health{health_inbox};
    const auto current = std::make_shared<configuration_pointer>();
    const gateway_record self{
        values.get(gateway_settings::name), values.get(gateway_settings::peers_listen),
        common::system_random()() >> 1U, values.get(gateway_settings::processor_share),
        values.get(gateway_settings::failure_domain)};
    const auto schedule = make_stop_schedule(values);
    const auto store = http::parse_endpoint(values.get(gateway_settings::store_address));

    // When a child fails, it is restarted together with the children after it. Each child therefore
    // follows those whose state it depends on. A stop begins with the last child.
    std::vector<runtime::child_spec> children;
    children.push_back(admin::make_health(
        health_inbox, {{configuration_condition, "no configuration is known yet"}}));
    children.push_back(admin::make_admin_server(
        http::parse_endpoint(values.get(gateway_settings::admin_listen)), health,
        {process.dump,
         [forwarder_inbox](const admin::metrics_query& it) { return forwarder_inbox->post(it); },
         make_route_handler(forwarder_inbox)},
        admin_server_limits(values)));
    http::server_options ready;
    ready.limits = ready_server_limits();
    ready.listen = http::parse_endpoint(values.get(gateway_settings::ready_listen));
    children.push_back(http::make_server("ready", ready, make_ready_handler(health)));
    runtime::child_spec peers_child{"peers", [=](runtime::task_context it) {
                                        return std::make_shared<peers::peers>(
                                            std::move(it), peers_inbox,
                                            runtime::address<forwarder_message>{forwarder_inbox},
                                            runtime::address<dispatcher_message>{dispatcher_inbox},
                                            runtime::address<catalog_message>{catalog_inbox}, self);
                                    }};
    peers_child.stop_timeout = schedule.acknowledgement;
    children.push_back(std::move(peers_child));
    children.push_back({"dispatcher", [=](runtime::task_context it) {
                            return std::make_shared<stages::dispatcher>(
                                std::move(it), dispatcher_inbox,
                                runtime::address<peers_message>{peers_inbox}, platform_adapter,
                                stages::make_piece_placement(transfer_terms_of(values)));
                        }});
    children.push_back({"streams", [=](runtime::task_context it) {
                            return std::make_shared<store::stream_registry>(
                                std::move(it), streams_inbox,
                                runtime::address<forwarder_message>{forwarder_inbox}, store,
                                platform_adapter, common::system_random());
                        }});
    children.push_back({"forwarder", [=](runtime::task_context it) {
                            return std::make_shared<requests::forwarder>(
                                std::move(it), forwarder_inbox,
                                runtime::address<peers_message>{peers_inbox},
                                runtime::address<stream_registry_message>{streams_inbox},
                                platform_adapter, make_forwarder_options(values, peers_inbox));
                        }});
    auto hooks = make_catalog_hooks(forwarder_inbox, dispatcher_inbox, streams_inbox, peers_inbox,
                                    health, current);
    hooks.region_of = make_region_hook(values);
    const auto heartbeat = values.get(gateway_settings::store_heartbeat);
    const auto limits =
        store::limits_for_staleness(values.get(gateway_settings::store_staleness_limit), heartbeat);
    runtime::child_spec catalog_child{"catalog", [=](runtime::task_context it) {
                                          return std::make_shared<store::catalog>(
                                              std::move(it), catalog_inbox, store, platform_adapter,
                                              self, hooks, limits, heartbeat);
                                      }};
    catalog_child.stop_timeout = schedule.unregister;
    children.push_back(std::move(catalog_child));
    children.push_back(make_caller_server(values, schedule, forwarder_inbox, platform_adapter,
                                          health, peers_inbox, dispatcher_inbox, current));
    return children;
}

} // namespace jujubemast::gateway
