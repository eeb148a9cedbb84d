#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/random.h"
#include "gateway/adapter.h"
#include "gateway/attempt_decision.h"
#include "gateway/estimate_bias.h"
#include "gateway/event_relay.h"
#include "gateway/forwarder_metrics.h"
#include "gateway/messages.h"
#include "gateway/service_pool.h"
#include "gateway/stage_progress.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::gateway {

/// The retry budget that all gateways of the deployment share.
struct shared_retry_budget {
    /// Retries allowed for each request.
    double ratio = 0.2;
    /// Additional retries allowed in one window, over all gateways.
    double reserve = 50;
    common::duration window = std::chrono::seconds{10};
};

/// Result of looking up a request in the configuration.
enum class lookup_result { found, no_configuration, no_route, unknown_key };

struct forwarder_options {
    std::string failure_domain;
    /// A configuration that the store has not confirmed for this long may be out of date.
    common::duration staleness_limit = std::chrono::seconds{3};
    shared_retry_budget retries;
    policy::routing_hook route;
    common::random_hook random;
};

/// Owns the requests of this gateway's callers from their arrival to the end of their response.
/// Finds the route, orders the stages, sends the request to an upstream and relays the response.
class forwarder final : public runtime::task {
public:
    forwarder(runtime::task_context context,
              std::shared_ptr<runtime::mailbox<forwarder_message>> inbox,
              runtime::address<peers_message> peers,
              std::shared_ptr<const adapter> platform_adapter, forwarder_options options);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    /// A request in progress, from its arrival to the end of its response.
    struct exchange {
        std::uint64_t id = 0;
        caller_request request;
        http::responder reply;
        /// Keeps the matched route alive while the configuration changes.
        configuration_pointer configuration;
        const route* matched_route = nullptr;
        std::string service;
        std::string workspace;
        int priority = 0;
        common::time_point arrived;
        common::time_point response_deadline;
        /// A first event of a stream after this time is useless to the caller. The request ends at
        /// this time unless the relay of a stream has begun.
        common::time_point first_event_deadline;
        /// The basis of the admission decision: expected and allowed time of the stages.
        common::duration expected_stages = common::duration::zero();
        common::duration allowed_stages = common::duration::zero();
        std::unique_ptr<runtime::timer> deadline_timer;
        /// Limits one attempt of a request that may be repeated.
        std::unique_ptr<runtime::timer> attempt_timer;
        /// Limits the body of a response that reports a failure.
        std::unique_ptr<runtime::timer> failure_timer;
        std::unique_ptr<runtime::timer> input_release_timer;

        stage_progress stages;
        /// Stages that have not been ordered yet.
        std::set<std::uint32_t> upcoming;
        std::optional<common::time_point> inputs_expire_at;
        /// An order in progress for the pieces of a stage.
        struct stage_order {
            std::uint32_t stage = 0;
            common::time_point sent;
            common::duration expected = common::duration::zero();
        };
        std::map<std::uint64_t, stage_order> orders;

        std::shared_ptr<pool_member> member;
        http::call_id call = 0;
        common::time_point sent_at;
        std::optional<common::time_point> first_sent_at;
        std::optional<common::time_point> first_byte_at;
        std::optional<common::time_point> first_event_at;
        common::time_point last_event_at;
        common::duration longest_event_gap = common::duration::zero();
        unsigned sends = 0;
        unsigned possible_runs = 0;
        std::vector<std::string> tried;
        response_head head;
        http::headers head_fields;
        std::string body;
        event_relay events;
        bool relaying = false;
    };

    void handle(const discovery_update& message);
    void handle(const configuration_confirmed& message);
    void handle(const request_received& message);
    void handle(const caller_disconnected& message);
    void handle(const order_ended& message);
    void handle(const gateway_count_changed& message);
    void handle(const backlog_report& message);
    void handle(const shutdown_started& message);
    void handle(const admin::metrics_query& message);

    /// Sets the route, workspace, priority and service of the exchange from the configuration.
    lookup_result look_up(exchange& ex) const;
    /// Refuses a request that does not match the configuration. The refusal is permanent only if
    /// the configuration is known to be the newest, because callers do not retry after it.
    void refuse_unknown(exchange& ex, lookup_result result);
    void admit(exchange& ex);
    /// Moves the end of a request without a response forward, so that it is answered before an
    /// ordered stop closes its connection.
    void limit_to_stop(exchange& ex) const;
    void start_deadline_timer(exchange& ex);
    void deadline_reached(std::uint64_t id);

    /// Time since the store last confirmed that the configuration is the newest. Nothing before the
    /// first read.
    [[nodiscard]] std::optional<common::duration> configuration_age() const;
    /// Number of instances of a service that accept work.
    [[nodiscard]] std::size_t count_serving_instances(const std::string& service) const;
    /// Age of the oldest backlog report that the estimate for the stages uses. Nothing without
    /// reports.
    [[nodiscard]] std::optional<common::duration> backlog_age(const exchange& ex) const;
    /// Expected time until all stages are complete.
    [[nodiscard]] common::duration expected_stages(const exchange& ex) const;
    /// Expected time of the stages that depend on this one.
    [[nodiscard]] common::duration expected_after(const exchange& ex, std::uint32_t stage) const;
    /// Expected time of a stage that is ordered after the delay `start`.
    [[nodiscard]] common::duration expected_stage(const exchange& ex, std::uint32_t stage,
                                                  common::duration start) const;
    /// The same without the correction from observed times.
    [[nodiscard]] common::duration raw_expected_stage(const exchange& ex, std::uint32_t stage,
                                                      common::duration start) const;
    /// Whether results of a stage would expire before a dependent stage can read them.
    [[nodiscard]] bool results_would_expire(const exchange& ex) const;
    [[nodiscard]] std::string preferred_domain(exchange& ex, std::uint32_t stage,
                                               const std::vector<std::string>& inputs);
    /// Adds the pieces of the request's stages to the counts of upcoming pieces.
    void record_upcoming(exchange& ex);
    void remove_upcoming(exchange& ex, std::uint32_t stage);
    /// Records when the first results of the request expire.
    static void record_result_expiry(exchange& ex, std::uint32_t stage);
    /// Returns the retry delay for a refusal because of overload.
    static common::duration overload_retry_after(common::duration excess);
    void advance_stages(exchange& ex);
    /// Whether the stage should be ordered later, because its results would occupy memory while
    /// other stages run.
    [[nodiscard]] bool should_defer(const exchange& ex, std::uint32_t stage) const;
    /// Returns whether the order was accepted.
    bool order_stage(exchange& ex, std::uint32_t stage);
    void cancel_orders(exchange& ex);
    void release_inputs(exchange& ex);

    void send(exchange& ex);
    http::call_hooks make_hooks(std::uint64_t id);
    void head_received(exchange& ex, unsigned status, const http::headers& fields);
    void body_received(exchange& ex, std::string_view bytes);
    /// Buffers a part of a response that is passed on as a whole.
    void buffer_body(exchange& ex, std::string_view bytes);
    void clear_body(exchange& ex);
    /// Limits the wait for the body of a failure. The body does not affect the decision.
    void start_failure_timer(exchange& ex);
    void relay_events(exchange& ex, std::string_view bytes);
    /// Ends the attempt because its response is invalid or incomplete.
    void reject_response(exchange& ex, const std::string& reason);
    /// Returns how an attempt ended whose request was sent and whose response is not complete.
    static attempt_end classify_incomplete_response(const exchange& ex);
    /// Whether the response has started but its body, or the current event, is incomplete.
    static bool is_stalled(const exchange& ex);
    void response_completed(exchange& ex);
    void attempt_ended(exchange& ex, attempt_end end, const std::string& detail);
    void cancel_call(exchange& ex);
    void start_attempt_timer(exchange& ex);
    /// Releases the inputs after the time in which an engine that starts at once reads them.
    void schedule_input_release(exchange& ex);
    [[nodiscard]] std::uint64_t prefix_of(const exchange& ex) const;

    void respond(exchange& ex, const http::response& response, request_end end,
                 const std::string& reason);
    void refuse(exchange& ex, unsigned status, const std::string& reason,
                std::optional<common::duration> retry_after = {});
    void finish(exchange& ex, request_end end, unsigned status, const std::string& reason);
    void log_end(const exchange& ex, request_end end, unsigned status, const std::string& reason,
                 common::duration took) const;

    exchange* find(std::uint64_t id);
    service_pool& pool_of(const std::string& service);
    void update_budgets();

    runtime::task_context m_context;
    runtime::inbox<forwarder_message> m_inbox;
    runtime::address<peers_message> m_peers;
    std::shared_ptr<const adapter> m_adapter;
    forwarder_options m_options;
    configuration_pointer m_configuration;
    std::optional<common::time_point> m_configuration_confirmed;
    upstream_map_pointer m_upstreams;
    std::map<std::string, std::unique_ptr<service_pool>> m_pools;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    /// Bytes of buffered bodies of all requests.
    std::size_t m_buffered_bytes = 0;
    /// Maps the number of each order to the id of its request.
    std::map<std::uint64_t, std::uint64_t> m_orders;
    std::uint64_t m_next_order;
    /// The last report from the owner of a service.
    struct known_backlog {
        service_backlog reported;
        common::time_point received;
    };
    std::map<std::string, known_backlog> m_backlogs;
    /// By service and priority, because less urgent pieces wait longer than estimated.
    std::map<std::pair<std::string, int>, estimate_bias> m_biases;
    /// Pieces of admitted requests that have not been ordered yet, by service and priority.
    std::map<std::string, std::map<int, std::size_t>> m_upcoming;
    std::size_t m_gateway_count = 1;
    /// When an ordered stop closes the callers' connections.
    std::optional<common::time_point> m_stop_deadline;
    forwarder_metrics m_metrics;
    logging::logger m_log{"forwarder"};
};

} // namespace jujubemast::gateway

namespace jujubemast::common {

template <>
struct enum_names<gateway::lookup_result> {
    static constexpr std::array<std::string_view, 4> table{"found", "no_configuration", "no_route",
                                                           "unknown_key"};
};

} // namespace jujubemast::common
