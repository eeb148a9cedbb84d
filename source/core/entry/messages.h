#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admin/metrics_query.h"
#include "common/time.h"
#include "common/types.h"
#include "entry/claim_record.h"
#include "entry/problem.h"
#include "http/server.h"
#include "protocol/messages.h"
#include "table_service/store.h"
#include "tickets/configuration.h"

namespace jujubemast::entry {

/// A request as decoded from HTTP, not yet authenticated.
struct caller_request {
    std::string key;
    std::string pipeline;
    std::string request_id;
    std::string idempotency_key;
    std::string trace_parent;
    std::optional<common::duration> timeout;
    std::optional<common::priority> priority;
    std::string input;
    std::uint32_t max_tokens = 0;
    bool stream = false;
};

/// A caller's request together with the connection that waits for its response.
struct submit {
    std::uint64_t id = 0;
    caller_request request;
    http::responder reply;
};

/// The caller of a submitted request has closed its connection.
struct caller_disconnected {
    std::uint64_t id = 0;
};

/// The configuration in force has changed.
struct configuration_changed {
    tickets::configuration_pointer current;
};

/// A message from a sidecar about work that was dispatched to it.
struct work_message {
    std::string instance;
    protocol::message content;
};

/// State of the link to a sidecar, sent after each heartbeat response and each change.
struct link_status {
    table_service::instance instance;
    bool up = false;
    std::uint64_t incarnation = 0;
    bool draining = false;
    /// The sidecar's monotonic clock minus that of this process, in microseconds.
    std::int64_t clock_offset_us = 0;
    protocol::load_report load;
    /// Number of the connection at the sidecar; changes when the transport reconnects.
    std::uint64_t connection = 0;
};

/// The link to the instance is closed, because the instance has left the membership list or is no
/// longer in the subset of upstreams that this entry keeps links to.
struct link_removed {
    std::string instance;
};

/// Work was not sent: its link is missing, down or not verified in time, the socket accepts no
/// message, or the sidecar has restarted.
struct work_not_sent {
    std::string instance;
    protocol::work_identity identity;
};

/// The claim for a request is recorded in the store; the request may be dispatched.
struct claim_granted {
    std::uint64_t id = 0;
};

/// The request must not be dispatched: it repeats another one, or the store did not respond in
/// time.
struct claim_denied {
    std::uint64_t id = 0;
    std::variant<problem, stored_outcome> content;
};

/// The outcome of a claimed request is recorded, or the store did not respond in time.
struct claim_closed {
    std::uint64_t id = 0;
    bool recorded = false;
};

using coordinator_message =
    std::variant<submit, caller_disconnected, configuration_changed, work_message, link_status,
                 link_removed, work_not_sent, claim_granted, claim_denied, claim_closed,
                 admin::metrics_query>;

/// Asks for the claim that a request needs before it may run. Answered by claim_granted or
/// claim_denied.
struct claim_request {
    std::uint64_t id = 0;
    std::string workspace;
    std::string key;
    /// Digest of the fields in which a request and its repeats must agree.
    std::string digest;
    common::time_point deadline;
};

/// Ends a claim. Without an outcome the request has not run, and the claim is released so that a
/// repeat may run. Answered by claim_closed.
struct close_claim {
    std::uint64_t id = 0;
    std::optional<stored_outcome> outcome;
};

using claims_message = std::variant<claim_request, close_claim>;

/// The membership list of the platform, sent after each successful poll.
struct members_changed {
    std::vector<table_service::instance> members;
};

/// Sends a message to the sidecar of an instance.
struct send_work {
    std::string instance;
    protocol::message content;
};

/// The revision of the configuration to announce in heartbeats.
struct announce_revision {
    std::uint64_t revision = 0;
};

/// Sidecar addresses from the settings, used until the first membership list arrives.
struct seed_addresses {
    std::vector<std::string> addresses;
};

/// Asks for the revisions of this process and of all linked sidecars, as last reported.
struct revision_query {
    http::responder reply;
};

using links_message =
    std::variant<members_changed, send_work, announce_revision, seed_addresses, revision_query>;

} // namespace jujubemast::entry
