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

/// A peer has sent its revision in a heartbeat.
struct peer_revision {
    std::string peer;
    std::uint64_t revision = 0;
};

/// A peer has asked for the configuration.
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

/// How a replica communicates with the other tasks of its process.
struct replica_hooks {
    /// Called with each configuration that comes into force in this process, and again after a
    /// restart of the task.
    std::function<void(configuration_pointer)> publish;
    /// Called with each new revision of this process, to be sent in heartbeats.
    std::function<void(std::uint64_t)> announce;
    /// Sends a message to a peer.
    std::function<void(const std::string& peer, protocol::message content)> send;
    /// Called when the reason changes. The reason is empty if the process is ready.
    std::function<void(const std::string& reason)> set_not_ready_reason;
};

struct replica_options {
    /// Address of the table service. Not set in processes that learn of configurations only from
    /// their peers.
    std::optional<http::endpoint> platform;
    /// Average time between two reads of the head row. Each interval is drawn from 50% to 150% of
    /// it.
    common::duration poll_interval = std::chrono::milliseconds{500};
    common::random_hook random = common::system_random();
};

/// Keeps this process's copy of the configuration up to date. It learns of new revisions from the
/// head row of the store and from the heartbeats of its peers, fetches the document once per
/// change, and sends its own document to peers that ask for it and have a lower revision.
class replica final : public runtime::task {
public:
    /// The state outlives restarts of the task, so that a restarted task does not return to a lower
    /// revision.
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
    /// Publishes a new snapshot if it may be served now, and reports a change of readiness.
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
