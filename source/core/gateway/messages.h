#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admin/metrics_query.h"
#include "gateway/adapter.h"
#include "gateway/configuration.h"
#include "gateway/crash_evidence.h"
#include "gateway/domain_drain.h"
#include "gateway/piece_order.h"
#include "gateway/service_backlog.h"
#include "gateway/stream_record.h"
#include "gateway/table_changes.h"
#include "gateway/upstream_list.h"
#include "http/server.h"

namespace jujubemast::gateway {

/// The configuration and the upstreams as last read from the store. Each pointer is null until its
/// table has been read.
struct discovery_update {
    configuration_pointer configuration;
    upstream_map_pointer upstreams;
    /// Number of failure domains that the operator has drained, with or without upstreams.
    std::size_t drained_domains = 0;
    /// How many times this gateway has seen the store restored from an older copy.
    std::size_t store_restores = 0;
};

/// The store has shown that the local copy of the configuration is the newest.
struct configuration_confirmed {
    /// Nothing if the store was restored and may lack a newer configuration.
    std::optional<common::time_point> at;
};

/// The store has shown that the local set of drained failure domains is the newest.
struct drains_confirmed {
    common::time_point at;
};

/// Asks the forwarder to explain where a request would go now. It responds itself.
struct route_query {
    /// The query string of the request to the admin address.
    std::string query;
    http::responder reply;
};

/// A request that arrived on a caller's connection.
struct request_received {
    std::uint64_t id = 0;
    http::request message;
    http::responder reply;
};

/// The caller has closed its connection.
struct caller_disconnected {
    std::uint64_t id = 0;
};

/// The outcome of an order that the forwarder placed.
struct order_ended {
    std::uint64_t number = 0;
    order_outcome outcome;
};

/// The gateways that share the limits of the upstreams have changed.
struct gateway_names_changed {
    std::vector<std::string> names;
    /// Number of gateways in each failure domain.
    std::map<std::string, std::size_t> per_domain;
};

/// The store has shown that the names of the gateways were complete at a time.
struct gateway_names_confirmed {
    common::time_point at;
};

/// An instance has announced in a response that it is about to stop.
struct instance_leaving {
    incarnation instance;
};

/// Backlogs of services. A gateway reports only the services that it owns.
struct backlog_report {
    std::vector<service_backlog> services;
};

/// Cancels an order and releases its results.
struct cancel_order {
    std::string service;
    order_key key;
};

/// Releases results that are no longer needed.
struct release_results {
    std::string service;
    std::vector<std::string> handles;
};

/// The outcome of an order, for the gateway that placed it.
struct order_finished {
    order_key key;
    order_outcome outcome;
};

/// The gateway that placed an order has received its outcome. Sent only to a gateway that is
/// leaving, which waits for it before it exits.
struct outcome_acknowledged {
    order_key key;
};

/// Another gateway has become live.
struct gateway_live {
    std::string name;
};

/// Asks the owner of a model engine whether the engine may begin to read a long prompt. Its
/// response names the number.
struct reading_request {
    /// The gateway that asks.
    std::string origin;
    std::uint64_t number = 0;
    std::string engine;
    common::duration reading = common::duration::zero();
};

struct reading_response {
    std::string origin;
    std::uint64_t number = 0;
    bool granted = false;
    /// If refused: the expected time until the engine has read its current prompt.
    common::duration free_in = common::duration::zero();
};

/// Tells the owner of a model engine that a reading that it may have granted has ended, or does not
/// begin. If this message is lost, the grant ends by itself.
struct reading_ended {
    /// The gateway that asked, and the number of its question.
    std::string origin;
    std::uint64_t number = 0;
    std::string engine;
};

struct gateways_changed {
    std::vector<gateway_record> gateways;
};

/// The store has shown that the local copy of the upstreams was the newest at a time.
struct upstreams_confirmed {
    common::time_point at;
};

/// Asks for a row that names the version which begins a stream. Answered with `stream_recorded`.
struct record_stream {
    /// The request that waits for the answer.
    std::uint64_t request = 0;
    stream_id stream;
    std::string version;
};

struct stream_recorded {
    std::uint64_t request = 0;
    record_outcome outcome = record_outcome::unavailable;
};

/// Asks which version began a stream that a caller resumes. Answered with `stream_found`, from what
/// the store holds after the question.
struct find_stream {
    /// The request that waits for the answer.
    std::uint64_t request = 0;
    stream_id stream;
};

struct stream_found {
    std::uint64_t request = 0;
    find_outcome outcome = find_outcome::unknown;
    std::string version;
};

/// The software versions that are listed in the store, by service. Only instances of listed
/// versions may begin streams that can be resumed, and while several are listed each such stream is
/// recorded before its first event reaches the caller. A service is missing until its list has been
/// read.
struct stream_versions_changed {
    std::map<std::string, usable_versions> listed;
};

/// The gateways that may own services, and the name of this one.
struct owners_changed {
    std::vector<std::string> owners;
    std::string self;
};

/// An ordered stop of this gateway has begun.
struct shutdown_started {
    /// The gateway exits at this time even if work is in progress.
    common::time_point deadline;
};

/// This process did not run for some time, because it was frozen or its machine was suspended. What
/// it knew of others may be out of date.
struct process_paused {
    common::duration time = common::duration::zero();
};

/// Changes of a table, or the confirmation that there are none, from a gateway that follows the
/// store.
struct table_relay {
    table_changes changes;
    /// When the store last confirmed that the sender's copy is the newest, in the clock of the
    /// process that holds the message.
    common::time_point confirmed;
};

/// Whether this gateway follows the store, and whether others rely on it.
struct store_role {
    bool reads_store = true;
    bool has_followers = false;

    friend bool operator==(const store_role&, const store_role&) = default;
};

using forwarder_message =
    std::variant<discovery_update, configuration_confirmed, drains_confirmed, request_received,
                 caller_disconnected, order_ended, gateway_names_changed, gateway_names_confirmed,
                 backlog_report, crash_evidence, gateway_live, reading_request, reading_response,
                 reading_ended, stream_recorded, stream_found, stream_versions_changed,
                 shutdown_started, admin::metrics_query, route_query>;

using stream_registry_message =
    std::variant<discovery_update, upstreams_confirmed, record_stream, find_stream>;

using peers_message =
    std::variant<piece_order, cancel_order, release_results, order_finished, gateways_changed,
                 backlog_report, instance_leaving, crash_evidence, table_relay, domain_drains,
                 reading_request, reading_response, reading_ended, shutdown_started>;

using dispatcher_message =
    std::variant<discovery_update, drains_confirmed, piece_order, cancel_order, release_results,
                 owners_changed, process_paused, shutdown_started>;

using catalog_message =
    std::variant<instance_leaving, process_paused, table_relay, store_role, domain_drains>;

} // namespace jujubemast::gateway
