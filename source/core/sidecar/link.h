#pragma once

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

/// Owns the ZeroMQ socket towards all entries: answers heartbeats and passes messages on in both
/// directions. It answers no heartbeat before the admission task has announced its incarnation.
class link final : public runtime::task {
public:
    link(runtime::task_context context, std::shared_ptr<runtime::mailbox<link_command>> inbox,
         runtime::address<admission_message> admission,
         runtime::address<tickets::replica_message> replica, std::string listen);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const send_to_entry& command);
    void handle(const status_changed& command);
    void handle(const announce_revision& command);
    void pass_on(const std::string& routing_id, protocol::message message);
    void received(const std::string& routing_id, const std::string& bytes);
    void answer(const std::string& routing_id, const protocol::ping& ping);

    runtime::task_context m_context;
    runtime::inbox<link_command> m_inbox;
    runtime::address<admission_message> m_admission;
    runtime::address<tickets::replica_message> m_replica;
    std::string m_listen;
    std::unique_ptr<wire::router> m_socket;
    logging::logger m_log{"link"};
    std::optional<status_changed> m_status;
    std::uint64_t m_revision = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_unsent = 0;
};

} // namespace jujubemast::sidecar
