#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "admin/metrics_query.h"
#include "common/time.h"
#include "policy/capacity_shares.h"
#include "protocol/messages.h"

namespace jujubemast::sidecar {

/// A message from an entry, with the connection it came over.
struct entry_message {
    std::string routing_id;
    protocol::message content;
};

/// A part of an upstream's result.
struct call_chunk {
    std::uint64_t call = 0;
    std::string payload;
};

/// An upstream call has delivered its whole result.
struct call_done {
    std::uint64_t call = 0;
};

/// An upstream call has failed.
struct call_failed {
    std::uint64_t call = 0;
    common::execution execution = common::execution::unknown;
    std::string detail;
    protocol::refusal_reason reason = protocol::refusal_reason::upstream_failed;
};

/// No heartbeat has arrived over this connection within the silence limit. Its entry has failed or
/// has given up the connection and the work that it had sent over it.
struct connection_lost {
    std::string routing_id;
};

/// Whether any entry holds a membership list in which this instance is leaving.
struct leaving_changed {
    bool leaving = false;
};

/// Whether every entry knows that this sidecar accepts no new work.
struct drain_announced {
    bool to_all_entries = false;
};

/// Priority floors and workspace weights of a new configuration.
struct shares_changed {
    std::shared_ptr<const policy::capacity_shares> current;
};

using admission_message =
    std::variant<entry_message, call_chunk, call_done, call_failed, connection_lost,
                 leaving_changed, drain_announced, shares_changed, admin::metrics_query>;

/// Sends a message to an entry.
struct send_to_entry {
    std::string routing_id;
    protocol::message content;
};

/// The status to report in heartbeat responses from now on.
struct status_changed {
    std::uint64_t incarnation = 0;
    bool draining = false;
    protocol::load_report load;

    friend bool operator==(const status_changed&, const status_changed&) = default;
};

/// The revision of the configuration to announce in heartbeat responses.
struct announce_revision {
    std::uint64_t revision = 0;
};

using link_command = std::variant<send_to_entry, status_changed, announce_revision>;

/// Starts the call of a stage at the upstream.
struct start_call {
    std::uint64_t call = 0;
    protocol::dispatch work;
    /// Time left until the deadline.
    common::duration remaining;
};

/// Cancels a call at the upstream.
struct cancel_call {
    std::uint64_t call = 0;
};

using upstream_command = std::variant<start_call, cancel_call>;

} // namespace jujubemast::sidecar
