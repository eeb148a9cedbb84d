#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "sidecar/messages.h"
#include "tickets/replica.h"
#include "wire/socket.h"

namespace jujubemast::sidecar {

/// Forwards a message to its destination. A filter may call it immediately, later, several times or
/// never.
using forward_hook = std::function<void(const std::string& routing_id, const protocol::message&)>;
using message_filter = std::function<void(const std::string& routing_id, const protocol::message&,
                                          const forward_hook& forward)>;

/// Filters that tests install between the socket and the task. A message without a filter is
/// forwarded immediately.
struct link_hooks {
    message_filter inbound;
    message_filter outbound;
};

struct link_options {
    std::string listen;
    /// A connection without a heartbeat for this time is dropped. The limit is longer than that of
    /// the entries, which give up first and then send the work elsewhere.
    common::duration silence_limit = std::chrono::milliseconds{2000};
};

/// Task that owns the ZeroMQ socket for all entries: responds to heartbeats and forwards messages
/// in both directions. It responds to no heartbeat before the admission task has announced its
/// incarnation.
class link final : public runtime::task {
public:
    link(runtime::task_context context, std::shared_ptr<runtime::mailbox<link_command>> inbox,
         runtime::address<admission_message> admission,
         runtime::address<tickets::replica_message> replica, link_options options,
         link_hooks hooks);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct connection {
        std::uint64_t number = 0;
        std::string entry;
        common::time_point last_ping;
        /// When the load was last reported over this connection.
        common::time_point last_report;
        bool leaving = false;
        /// Heartbeat responses that have reported the draining of this sidecar.
        std::uint32_t drain_pongs = 0;
    };

    void handle(const send_to_entry& command);
    void handle(const status_changed& command);
    void handle(const announce_revision& command);
    void send(const std::string& routing_id, const protocol::message& message);
    void received(const std::string& routing_id, const std::string& bytes);
    void accept(const std::string& routing_id, const protocol::message& message);
    void send_pong(const std::string& routing_id, const protocol::ping& ping);
    void record_ping(const std::string& routing_id, const protocol::ping& ping);
    void drop_silent_connections();
    [[nodiscard]] bool load_report_due(const std::string& routing_id, common::time_point now);
    void announce_leaving();
    void announce_drain();
    void schedule_check();

    runtime::task_context m_context;
    runtime::inbox<link_command> m_inbox;
    runtime::address<admission_message> m_admission;
    runtime::address<tickets::replica_message> m_replica;
    link_options m_options;
    link_hooks m_hooks;
    forward_hook m_accept;
    forward_hook m_send;
    std::unique_ptr<wire::router> m_socket;
    runtime::timer m_timer;
    logging::logger m_log{"link"};
    std::optional<status_changed> m_status;
    std::map<std::string, connection> m_connections;
    std::uint64_t m_next_connection = 1;
    common::time_point m_last_check;
    bool m_leaving = false;
    bool m_drain_announced = false;
    std::uint64_t m_revision = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_unsent = 0;
};

} // namespace jujubemast::sidecar
