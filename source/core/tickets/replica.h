#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "common/random.h"
#include "logging/logger.h"
#include "protocol/messages.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "table_service/store.h"
#include "tickets/replica_state.h"

namespace jujubemast::tickets {

/// The revision that a peer has named in a heartbeat.
struct peer_revision {
    std::string peer;
    std::uint64_t revision = 0;
};

/// A peer asks for the configuration.
struct peer_fetch {
    std::string peer;
    protocol::configuration_fetch content;
};

/// A peer has sent its configuration.
struct peer_state {
    std::string peer;
    protocol::configuration_state content;
};

using replica_message = std::variant<peer_revision, peer_fetch, peer_state>;

/// How a replica talks to the other tasks of its process.
struct replica_hooks {
    /// Called with each configuration that replaces an older one.
    std::function<void(configuration_pointer)> publish;
    /// Called with each revision to name in heartbeats.
    std::function<void(std::uint64_t)> announce;
    /// Sends a message to a peer.
    std::function<void(const std::string& peer, protocol::message content)> send;
    /// Called when the reason changes; empty when the process is ready.
    std::function<void(const std::string& reason)> set_not_ready_reason;
};

struct replica_options {
    /// Absent in processes that learn from their peers only.
    std::optional<http::endpoint> platform;
    /// Average time between two reads of the head row; each wait is drawn from 50% to 150% of it.
    common::duration poll_interval = std::chrono::milliseconds{500};
    common::random_hook random = common::system_random();
};

/// Keeps the configuration in force. Learns of new revisions from the head row of the store and
/// from the heartbeats of its peers, fetches a document once for each change, and gives its own
/// document to peers that hold a lower revision.
class replica final : public runtime::task {
public:
    /// The state outlives restarts of the task, so that a restarted task does not go back.
    replica(runtime::task_context context, std::shared_ptr<runtime::mailbox<replica_message>> inbox,
            std::shared_ptr<replica_state> state, replica_options options, replica_hooks hooks);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const peer_revision& message);
    void handle(const peer_fetch& message);
    void handle(const peer_state& message);
    void poll();
    void schedule_poll();
    void head_received(const table_service::rows_result& result);
    void objects_received(std::uint64_t revision, std::uint64_t digest,
                          const table_service::rows_result& result);
    void install(const std::string& source, const std::function<snapshot_pointer()>& make);
    void update_readiness();

    runtime::task_context m_context;
    runtime::inbox<replica_message> m_inbox;
    std::shared_ptr<replica_state> m_state;
    replica_options m_options;
    replica_hooks m_hooks;
    std::unique_ptr<table_service::store> m_store;
    runtime::timer m_poll_timer;
    runtime::timer m_readiness_timer;
    logging::logger m_log{"replica"};
    std::optional<std::string> m_not_ready_reason;
    std::uint64_t m_polls = 0;
    std::uint64_t m_failed_polls = 0;
    std::uint64_t m_fetches_sent = 0;
    std::uint64_t m_documents_sent = 0;
    std::uint64_t m_documents_rejected = 0;
};

} // namespace jujubemast::tickets
