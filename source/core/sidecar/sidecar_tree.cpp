#include "sidecar/sidecar_tree.h"

#include <map>
#include <memory>
#include <utility>

#include "admin/admin_server.h"
#include "admin/health.h"
#include "sidecar/admission.h"
#include "sidecar/admission_factory.h"
#include "sidecar/link.h"
#include "sidecar/orders.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/upstream.h"
#include "tickets/replica.h"

namespace jujubemast::sidecar {

namespace {

constexpr std::size_t mailbox_capacity = 65536;

using admission_mailbox = std::shared_ptr<runtime::mailbox<admission_message>>;
using link_mailbox = std::shared_ptr<runtime::mailbox<link_command>>;
using replica_mailbox = std::shared_ptr<runtime::mailbox<tickets::replica_message>>;
using orders_mailbox = std::shared_ptr<runtime::mailbox<orders_message>>;
using upstream_mailbox = std::shared_ptr<runtime::mailbox<upstream_command>>;

using shares_pointer = std::shared_ptr<const policy::capacity_shares>;

runtime::child_spec make_admission(const settings::values& values, const admission_mailbox& inbox,
                                   const link_mailbox& link, const upstream_mailbox& upstream,
                                   const std::shared_ptr<shares_pointer>& shares) {
    return {"admission", [=](runtime::task_context context) {
                admission_options options;
                options.status_interval = values.get(sidecar_settings::admission_status_interval);
                options.shares = **shares;
                admission_hooks hooks;
                hooks.queue = make_queue(values, options.shares);
                hooks.limit = make_limit(values);
                return std::make_shared<admission>(
                    std::move(context), inbox, runtime::address<link_command>{link},
                    runtime::address<upstream_command>{upstream}, options, hooks);
            }};
}

runtime::child_spec make_upstream(const settings::values& values, const upstream_mailbox& inbox,
                                  const admission_mailbox& admission) {
    upstream_options options;
    options.address = http::parse_endpoint(values.get(sidecar_settings::upstream_address));
    options.kind =
        common::from_name<tickets::pool_kind>(values.get(sidecar_settings::upstream_kind)).value();
    options.progress_timeout = values.get(sidecar_settings::upstream_progress_timeout);
    return {"upstream", [=](runtime::task_context context) {
                return std::make_shared<upstream>(std::move(context), inbox,
                                                  runtime::address<admission_message>{admission},
                                                  options);
            }};
}

/// Sidecars receive the configuration from entries only, so that they put no load on the store.
runtime::child_spec make_replica(const replica_mailbox& inbox, const link_mailbox& link,
                                 const admission_mailbox& admission, const orders_mailbox& orders,
                                 const std::shared_ptr<shares_pointer>& shares) {
    const runtime::address<link_command> link_address{link};
    tickets::replica_hooks hooks;
    const runtime::address<admission_message> admission_address{admission};
    const runtime::address<orders_message> orders_address{orders};
    const auto defaults = *shares;
    hooks.publish = [=](const tickets::configuration_pointer& current) {
        // Also kept for an admission task that is restarted later.
        *shares = std::make_shared<const policy::capacity_shares>(shares_of(*current, *defaults));
        admission_address.send(shares_changed{*shares});
        orders_address.send(placement_changed{current});
    };
    hooks.announce = [link_address](std::uint64_t revision) {
        link_address.send(announce_revision{revision});
    };
    hooks.send = [link_address](const std::string& peer, protocol::message content) {
        link_address.send(send_to_entry{peer, std::move(content)});
    };
    // A sidecar is ready without a configuration, because the entries decide whether to send it
    // work.
    hooks.set_not_ready_reason = [](const std::string& /*reason*/) {};
    tickets::replica_state_limits limits;
    limits.startup_wait = common::duration::zero();
    const auto state = std::make_shared<tickets::replica_state>(limits);
    return {"replica", [=](runtime::task_context context) {
                return std::make_shared<tickets::replica>(std::move(context), inbox, state,
                                                          tickets::replica_options{}, hooks);
            }};
}

runtime::child_spec make_orders(const settings::values& values, const orders_mailbox& inbox) {
    orders_options options;
    options.engine = http::parse_endpoint(values.get(sidecar_settings::upstream_address));
    options.pool = values.get(sidecar_settings::pool);
    options.interval = values.get(sidecar_settings::orders_interval);
    options.spread = values.get(sidecar_settings::orders_spread);
    return {"orders", [=](runtime::task_context context) {
                return std::make_shared<orders>(std::move(context), inbox, options);
            }};
}

} // namespace

std::vector<runtime::child_spec> make_sidecar_tree(const runtime::executor& loop,
                                                   const runtime::process_hooks& process,
                                                   const settings::values& values) {
    return make_sidecar_tree_with_hooks(loop, process, values, {});
}

std::vector<runtime::child_spec> make_sidecar_tree_with_hooks(const runtime::executor& loop,
                                                              const runtime::process_hooks& process,
                                                              const settings::values& values,
                                                              const link_hooks& hooks) {
    const auto health_inbox = runtime::make_mailbox<admin::health_message>(loop, mailbox_capacity);
    const auto admission_inbox = runtime::make_mailbox<admission_message>(loop, mailbox_capacity);
    const auto link_inbox = runtime::make_mailbox<link_command>(loop, mailbox_capacity);
    const auto replica_inbox =
        runtime::make_mailbox<tickets::replica_message>(loop, mailbox_capacity);
    const auto orders_inbox = runtime::make_mailbox<orders_message>(loop, mailbox_capacity);
    const auto upstream_inbox = runtime::make_mailbox<upstream_command>(loop, mailbox_capacity);

    const auto shares = std::make_shared<shares_pointer>(
        std::make_shared<const policy::capacity_shares>(default_shares(values)));

    std::vector<runtime::child_spec> children;
    children.push_back(admin::make_health(health_inbox));
    children.push_back(
        admin::make_admin_server(http::parse_endpoint(values.get(sidecar_settings::admin_listen)),
                                 runtime::address<admin::health_message>{health_inbox},
                                 {process.dump, [admission_inbox](const admin::metrics_query& it) {
                                      return admission_inbox->post(it);
                                  }}));
    const link_options options{values.get(sidecar_settings::link_listen),
                               values.get(sidecar_settings::link_silence_limit)};
    children.push_back(
        {"link", [=](runtime::task_context it) {
             return std::make_shared<link>(
                 std::move(it), link_inbox, runtime::address<admission_message>{admission_inbox},
                 runtime::address<tickets::replica_message>{replica_inbox}, options, hooks);
         }});
    // The following children come after the link, so that a restarted link receives the revision
    // again.
    const auto kind = values.get(sidecar_settings::upstream_kind);
    if (kind == common::to_name(tickets::pool_kind::engine) &&
        !values.get(sidecar_settings::pool).empty()) {
        // The orders task comes before the replica, which sends it the placement again after a
        // restart.
        children.push_back(make_orders(values, orders_inbox));
    }
    children.push_back(
        make_replica(replica_inbox, link_inbox, admission_inbox, orders_inbox, shares));
    children.push_back(make_upstream(values, upstream_inbox, admission_inbox));
    // The admission task is last, so that it stops first, while the link and the upstream calls
    // still serve it.
    children.push_back(make_admission(values, admission_inbox, link_inbox, upstream_inbox, shares));
    return children;
}

} // namespace jujubemast::sidecar
