#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "entry/messages.h"
#include "logging/logger.h"
#include "policy/link_monitor.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "tickets/replica.h"
#include "wire/socket.h"

namespace jujubemast::entry {

/// Limits for the links between an entry and the sidecars.
struct link_limits {
    policy::link_monitor_options monitor;
    /// Longest time that work waits for the verification of an idle link. It is returned to the
    /// coordinator afterwards.
    common::duration verification_timeout = std::chrono::milliseconds{300};
    /// Number of upstreams of one pool that one entry keeps links to.
    std::size_t subset_size = 24;
};

/// Identity of this instance, which determines the subset of upstreams that it has links to.
struct link_identity {
    std::string name;
    std::string failure_domain;
};

/// Task that owns one ZeroMQ socket for each sidecar: sends heartbeats, measures the clock offset,
/// forwards messages in both directions, and replaces sockets that have gone silent.
class links final : public runtime::task {
public:
    links(runtime::task_context context, std::shared_ptr<runtime::mailbox<links_message>> inbox,
          runtime::address<coordinator_message> coordinator,
          runtime::address<tickets::replica_message> replica, link_identity identity,
          link_limits limits);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct sent_ping {
        std::uint64_t nonce = 0;
        common::time_point sent;
    };

    struct waiting_dispatch {
        protocol::dispatch content;
        common::time_point since;
    };

    struct link {
        explicit link(const policy::link_monitor_options& options) : monitor{options} {}

        policy::link_monitor monitor;
        /// Work that was sent and has not been reported as ended.
        std::set<protocol::work_identity> in_progress;
        /// Work that waits until the link is verified.
        std::deque<waiting_dispatch> waiting;
        table_service::instance instance;
        std::unique_ptr<wire::dealer> socket;
        link_status status;
        /// Heartbeats without a response so far, oldest first.
        std::deque<sent_ping> unanswered;
        std::uint64_t replacements = 0;
        /// Revision of the configuration that the sidecar holds.
        std::uint64_t revision = 0;
    };

    void handle(const members_changed& message);
    [[nodiscard]] std::vector<table_service::instance>
    select_subset(const std::vector<table_service::instance>& members) const;
    void handle(const send_work& message);
    void handle(const announce_revision& message);
    void handle(const seed_addresses& message);
    void handle(const revision_query& message) const;
    void forward(const std::string& instance, const protocol::message& message);
    void open(link& target);
    void check_links();
    void ping(link& target, common::time_point now);
    void received(const std::string& instance, const std::string& bytes);
    void pong_received(link& target, const protocol::pong& pong);
    void work_received(link& target, const protocol::message& message);
    void dispatch(link& target, const protocol::dispatch& message);
    void send_dispatch(link& target, const protocol::dispatch& message);
    void send_waiting(link& target);
    void return_waiting(link& target, common::time_point sent_before);
    void check_link(link& target, common::time_point now);
    void mark_down(link& target);
    void report_status(const link& target);

    runtime::task_context m_context;
    runtime::inbox<links_message> m_inbox;
    runtime::address<coordinator_message> m_coordinator;
    runtime::address<tickets::replica_message> m_replica;
    link_identity m_identity;
    link_limits m_limits;
    runtime::timer m_timer;
    logging::logger m_log{"links"};
    std::map<std::string, link> m_links;
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_nonce = 1;
    /// Total size of the encoded heartbeats and heartbeat responses.
    std::uint64_t m_heartbeat_bytes = 0;
};

} // namespace jujubemast::entry
