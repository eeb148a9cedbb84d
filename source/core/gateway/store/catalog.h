#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/adapter.h"
#include "gateway/messages.h"
#include "gateway/store/drained_domains.h"
#include "gateway/store/gateway_list.h"
#include "gateway/store/malformed_rows.h"
#include "gateway/store/registration.h"
#include "gateway/store/table_watch.h"
#include "gateway/store/warm_up_tracker.h"
#include "http/client.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Callbacks through which the catalog publishes what it reads.
struct catalog_hooks {
    /// Returns the region of a failure domain, or an empty name if it is unknown. May be empty.
    std::function<std::string(const std::string& failure_domain)> region_of;
    std::function<void(const discovery_update&)> publish;
    std::function<void(const std::vector<gateway_record>&)> publish_gateways;
    /// A response of the store has shown that the local copy of the configuration is the newest.
    std::function<void(const configuration_confirmed&)> confirm_configuration;
    /// The same for the upstreams. May be empty.
    std::function<void(const upstreams_confirmed&)> confirm_upstreams;
    /// The same for the names of the gateways.
    std::function<void(const gateway_names_confirmed&)> confirm_gateways;
    /// A response of the store has shown that the known drains of failure domains are the newest.
    std::function<void(const drains_confirmed&)> confirm_drains;
    /// Passes changes on to the other gateways.
    std::function<void(const table_relay&)> relay;
    /// Tells all gateways which drains this one has read from the store.
    std::function<void(const domain_drains&)> announce_drains;
    /// Sets why the gateway is not ready. An empty reason means that it can serve requests.
    std::function<void(const std::string& reason)> set_not_ready_reason;
};

/// Service discovery: reads the configuration, the upstreams and the other gateways from the
/// platform's store, follows their changes, and registers this gateway there. A few gateways of
/// each failure domain follow the store itself and pass the changes on; the others follow these.
class catalog final : public runtime::task {
public:
    catalog(runtime::task_context context, std::shared_ptr<runtime::mailbox<catalog_message>> inbox,
            http::endpoint store, std::shared_ptr<const adapter> platform_adapter,
            gateway_record self, catalog_hooks hooks, const table_watch_limits& limits,
            common::duration heartbeat = upstream_list::default_heartbeat);

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const instance_leaving& message);
    void handle(const process_paused& message);
    void handle(const table_relay& message);
    void handle(const store_role& message);
    void handle(const domain_drains& message);
    [[nodiscard]] std::unique_ptr<table_watch> make_watch(store_table table,
                                                          table_watch_hooks hooks);
    /// Decodes a row. Returns nothing if the row was deleted or is malformed. A malformed row is
    /// logged once, with a word for what it describes.
    template <typename Record>
    std::optional<Record> decode_row(store_table table, std::string_view described,
                                     const store_row& row,
                                     const std::function<Record(const store_row&)>& decode);
    /// Records the content of a row, and whether it has to be passed on, which is always so if the
    /// digest of the content does not show a change.
    void record_row(store_table table, const store_row& row, std::optional<std::uint64_t> content,
                    bool is_hidden_change = false);
    void confirmed(store_table table, common::time_point at);
    /// A response of the store names its era. If it is a later one, the store was restored from an
    /// older copy, and all tables are read again.
    void era_seen(std::uint64_t era);
    /// Prepares what is known for a store that lacks rows, or has earlier states of them.
    void record_restore();
    /// Ends the time in which gateways register again after a restore.
    void end_reregistration();
    /// Ends the time in which what a restored store has lost is written again.
    void end_restore();
    /// How long this gateway waits before it reads the tables of a restored store, so that not all
    /// gateways read at once.
    [[nodiscard]] common::duration read_delay() const;
    /// Passes on what has changed since the last time, or now and then the confirmation that
    /// nothing has.
    void relay(store_table table);
    void apply_configuration_rows(const table_update& update);
    /// Applies the rows that drain failure domains, and passes on those that were read from the
    /// store. Returns whether a drain has begun or ended.
    bool apply_drain_rows(const table_update& update);
    void log_drains(const std::vector<domain_drain>& changes) const;
    [[nodiscard]] std::string region_of(const std::string& failure_domain) const;
    /// The upstreams, with their regions and marks at those in drained failure domains.
    [[nodiscard]] upstream_map_pointer marked_upstreams() const;
    void log_faults(const configuration& config) const;
    void apply_upstream_rows(const table_update& update);
    void apply_gateway_rows(const table_update& update);
    void publish_gateways();
    /// The table of the upstreams is available again, after a time without a sign of it.
    void upstreams_available(common::duration unseen);
    void publish();
    void schedule_expiry();

    runtime::task_context m_context;
    runtime::inbox<catalog_message> m_inbox;
    std::shared_ptr<const adapter> m_adapter;
    gateway_record m_self;
    catalog_hooks m_hooks;
    table_watch_limits m_limits;
    http::client m_client;
    registration m_registration;
    std::map<store_table, std::unique_ptr<table_watch>> m_watches;
    /// Changes of a table that have not been passed on.
    struct pending_changes {
        std::vector<store_row> rows;
        /// The version up to which changes have been passed on. Empty if the others have to ask the
        /// store first, because this gateway has not seen all changes before.
        std::optional<store_position> since;
        common::time_point relayed;
    };
    std::map<store_table, pending_changes> m_pending;
    std::map<store_table, malformed_rows> m_malformed;
    store_role m_role;
    /// The latest known era of the store.
    std::uint64_t m_era = 0;
    std::size_t m_restores = 0;
    /// Whether the store was restored a short time ago, so that not all of what it has lost has
    /// been written again.
    bool m_restored = false;
    /// Whether the restored store may lack a configuration newer than the known one.
    bool m_may_lack_configuration = false;
    configuration_pointer m_configuration;
    /// Whether the newest configuration in the store could be decoded, and is not older than the
    /// one that is known.
    bool m_newest_in_force = true;
    drained_domains m_drains;
    upstream_list m_upstreams;
    warm_up_tracker m_warm_up;
    bool m_upstreams_read = false;
    bool m_gateways_read = false;
    gateway_list m_gateways;
    runtime::timer m_expiry_timer;
    runtime::timer m_reregistration_timer;
    runtime::timer m_restore_timer;
    logging::logger m_log{"catalog"};
};

} // namespace jujubemast::gateway::store
