#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/messages.h"
#include "gateway/store/drained_domains.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "wire/gateway_codec.h"
#include "wire/socket.h"

namespace jujubemast::gateway::peers {

struct peer_limits {
    common::duration ping_interval = std::chrono::milliseconds{500};
    /// A tick that is late by this time shows that this process was paused.
    common::duration pause_threshold = std::chrono::milliseconds{700};
    /// A gateway that has sent nothing for this long is considered dead.
    common::duration silence_limit = std::chrono::milliseconds{1600};
    /// An order without an outcome is resent after this time.
    common::duration resend_interval = std::chrono::milliseconds{1500};
    /// How long an announced instance is remembered for gateways that become live later. It has
    /// stopped by then.
    common::duration leaving_instance_retention = std::chrono::seconds{60};
    /// An outcome that is not acknowledged is resent after this time during a stop.
    common::duration acknowledgement_interval = std::chrono::milliseconds{100};
    /// Number of pings with which a drain that was read from the store is announced again, because
    /// a connection that breaks loses what it has not delivered.
    int drain_repeats = 3;
};

/// Links to the other gateways. Sends orders to the owner of their service and resends them until
/// their outcome is known. Returns the outcomes of orders that other gateways placed.
class peers final : public runtime::task {
public:
    peers(runtime::task_context context, std::shared_ptr<runtime::mailbox<peers_message>> inbox,
          runtime::address<forwarder_message> forwarder,
          runtime::address<dispatcher_message> dispatcher,
          runtime::address<catalog_message> catalog, gateway_record self,
          const peer_limits& limits = {});

    void start() override;
    /// Waits until the other gateways have acknowledged the outcomes of their orders.
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct peer {
        gateway_record record;
        std::unique_ptr<wire::dealer> link;
        common::time_point last_heard;
        common::time_point connected_at;
        /// Whether the other gateway reports that it receives this gateway's messages.
        bool hears_us = false;
        bool leaving = false;
        bool live = false;
        /// When the last ping of the other gateway was sent, in its clock, and when it arrived.
        std::optional<common::time_point> ping_sent;
        common::time_point ping_received;

        /// Returns a lower bound of the other gateway's time at a time of this one.
        [[nodiscard]] common::time_point remote_time(common::time_point time) const {
            return *ping_sent + (time - ping_received);
        }
    };

    struct pending_order {
        piece_order order;
        std::string owner;
        common::time_point sent;
    };

    void handle(const piece_order& message);
    void handle(const cancel_order& message);
    void handle(const release_results& message);
    void handle(const order_finished& message);
    void handle(const gateways_changed& message);
    void handle(const shutdown_started& message);
    void handle(const backlog_report& message);
    void handle(const outcome_acknowledged& message);
    void handle(const instance_leaving& message);
    void handle(const crash_evidence& message);
    void handle(const table_relay& message);
    void handle(const reading_request& message);
    void handle(const reading_response& message);
    void handle(const domain_drains& message);
    void handle(const reading_ended& message);

    void ping_received(peer& from, const wire::gateway_ping& message, common::time_point now);
    void message_received(const std::string& bytes);
    void tick();
    /// Notices that this process did not run. The silence of the others is not counted for that
    /// time.
    void check_for_pause(common::time_point now);
    void update_live();
    /// Chooses the gateways of this failure domain that follow the store, among those that are
    /// live.
    void update_store_readers();
    void connect(peer& target);
    void send_ping(peer& target, common::time_point now);
    /// Sends an order to the owner of its service.
    void assign(pending_order& pending);
    /// Sends an order again to get its outcome.
    void resend(pending_order& pending);
    /// Assigns the orders of dead owners to the current owners.
    void reassign_orders();
    [[nodiscard]] bool reads_store(const std::string& name) const;
    /// Whether the gateway relies on the changes that this one may read from the store.
    [[nodiscard]] bool is_follower(const peer& target) const;
    [[nodiscard]] bool is_live(const std::string& name) const;
    /// Tells the catalog. Returns whether it was not known yet.
    bool remember_leaving(const incarnation& instance);
    /// Tells a gateway that has become live which instances are leaving.
    void send_leaving_instances(const std::string& name);
    /// Merges drains into those that are known.
    void remember_drains(const domain_drains& message);
    /// Tells a gateway, or all live ones, which drains are known.
    void send_drains(const std::string& name);
    void send_drains_to_all();
    /// Resends the outcomes that are not acknowledged yet. Ends the stop if there are none.
    void continue_stop();
    /// Sends to a gateway by name. Messages to this gateway go to the mailbox of its own
    /// dispatcher.
    bool send_to(const std::string& name, const wire::gateway_content& content);
    [[nodiscard]] std::string owner_of(const std::string& service) const;

    runtime::task_context m_context;
    runtime::inbox<peers_message> m_inbox;
    runtime::address<forwarder_message> m_forwarder;
    runtime::address<dispatcher_message> m_dispatcher;
    runtime::address<catalog_message> m_catalog;
    gateway_record m_self;
    peer_limits m_limits;
    std::unique_ptr<wire::router> m_router;
    std::map<std::string, peer> m_peers;
    /// Gateways that may own services.
    std::vector<std::string> m_owners;
    /// Gateways of this failure domain that follow the store.
    std::vector<std::string> m_store_readers;
    store_role m_role;
    bool m_leaving = false;
    std::optional<common::time_point> m_last_tick;
    /// Until then the others may not have heard this gateway, because it was paused.
    common::time_point m_unheard_until;
    std::map<std::uint64_t, pending_order> m_pending;
    /// Outcomes that were sent since this gateway began to leave.
    std::map<order_key, order_outcome> m_unacknowledged;
    /// Instances that were announced as leaving, with the time of the announcement.
    std::map<incarnation, common::time_point> m_leaving_instances;
    store::drained_domains m_drains;
    int m_drain_repeats_left = 0;
    runtime::timer m_timer;
    runtime::timer m_stop_timer;
    runtime::stop_done m_stop_done;
    logging::logger m_log{"peers"};
};

} // namespace jujubemast::gateway::peers
