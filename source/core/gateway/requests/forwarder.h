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
#include "gateway/evidence/attempt_evidence.h"
#include "gateway/evidence/crash_suspects.h"
#include "gateway/instances/domain_index.h"
#include "gateway/instances/drained_services.h"
#include "gateway/instances/instance_filter.h"
#include "gateway/instances/pause_guard.h"
#include "gateway/instances/reading_schedule.h"
#include "gateway/instances/service_pool.h"
#include "gateway/messages.h"
#include "gateway/requests/attempt_decision.h"
#include "gateway/requests/exchange.h"
#include "gateway/requests/forwarder_metrics.h"
#include "gateway/requests/stop_admission.h"
#include "gateway/requests/upstream_attempt.h"
#include "gateway/stages/stage_admission.h"
#include "gateway/stages/stage_estimator.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::gateway::requests {

/// The retry budget that all gateways of the deployment share.
struct shared_retry_budget {
    /// Retries allowed for each request.
    double ratio = 0.2;
    /// Additional retries allowed in one window, over all gateways.
    double reserve = 50;
    common::duration window = std::chrono::seconds{10};
};

/// Result of looking up a request in the configuration.
enum class lookup_result { found, no_route, unusable_route, unknown_key, unusable_workspace };

struct forwarder_options {
    /// Name of this gateway.
    std::string name;
    std::string failure_domain;
    /// A configuration that the store has not confirmed for this long may be out of date.
    common::duration staleness_limit = std::chrono::seconds{3};
    shared_retry_budget retries;
    /// Memory for the bodies of responses, in bytes.
    std::size_t response_buffer_bytes = std::size_t{32} * 1024 * 1024;
    policy::routing_hook route;
    /// Decides whether an engine has free slots and reads its inputs at once.
    instances::free_slot_hook has_free_slot = instances::has_free_slot_by_pool;
    policy::placement_hook place = policy::place_by_routing;
    /// Divides requests without prompt and inputs among the failure domains. Without it the routing
    /// policy alone decides.
    policy::overflow_hook overflow;
    /// What bytes between failure domains cost. Without a price they do not count when a stage is
    /// ordered or a source of cached prompt parts is named.
    policy::transfer_terms transfer{.price_ms_per_gb = 0};
    common::random_hook random;
    /// Makes known that an instance is about to stop.
    std::function<void(const instance_leaving&)> announce_leaving;
};

/// Owns the requests of this gateway's callers from their arrival to the end of their response.
/// Finds the route, orders the stages, sends the request to an upstream and relays the response.
class forwarder final : public runtime::task {
public:
    forwarder(runtime::task_context context,
              std::shared_ptr<runtime::mailbox<forwarder_message>> inbox,
              runtime::address<peers_message> peers,
              runtime::address<stream_registry_message> streams,
              std::shared_ptr<const adapter> platform_adapter, forwarder_options options);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    /// Retry delay of requests whose instances are all in drained failure domains. They stay there
    /// until the operator ends a drain.
    static constexpr common::duration drained_retry_after = std::chrono::seconds{5};

    void handle(const discovery_update& message);
    void handle(const configuration_confirmed& message);
    void handle(const drains_confirmed& message);
    void handle(const request_received& message);
    void handle(const caller_disconnected& message);
    void handle(const order_ended& message);
    void handle(const gateway_names_changed& message);
    void handle(const gateway_names_confirmed& message);
    void handle(const backlog_report& message);
    void handle(const crash_evidence& message);
    void handle(const gateway_live& message);
    void handle(const reading_request& message);
    void handle(const reading_response& message);
    void handle(const reading_ended& message);
    void handle(const stream_recorded& message);
    void handle(const stream_found& message);
    void handle(const stream_versions_changed& message);
    void handle(const shutdown_started& message);
    void handle(const admin::metrics_query& message);
    void handle(const route_query& query);

    /// Sets the deadline of an event for which the caller has waited since a time.
    static void wait_for_event_since(exchange& ex, common::time_point since);
    /// Looks up a request, and admits or refuses it.
    void begin(exchange& ex);
    /// Lets a request wait until this gateway has read the store, for a short time at most.
    void hold(exchange& ex);
    /// Refuses the request if it is still held, or still waits for the version of its stream, after
    /// a short time.
    void start_hold_timer(exchange& ex);
    /// Begins the held requests again.
    void begin_held_requests();
    /// Records the first list of upstreams since the start.
    void record_first_list(common::time_point now);
    /// Whether a service that the request needs has no instance only because the list of upstreams
    /// is read for the first time and may be incomplete.
    [[nodiscard]] bool may_lack_instances(const exchange& ex) const;
    /// The number in [0, 1) that chooses the service of a route with several.
    [[nodiscard]] double service_share(const exchange& ex) const;
    /// Sets the route, workspace, priority and service of the exchange from the configuration.
    lookup_result look_up(exchange& ex) const;
    /// Refuses a request that does not match the configuration. The refusal is permanent only if
    /// the configuration is known to be the newest and nothing that could allow the request is
    /// missing from it, because callers do not retry after it.
    void refuse_unknown(exchange& ex, lookup_result result);
    /// Whether a part of the configuration that could not be decoded may allow the request.
    [[nodiscard]] bool may_be_in_undecoded_part(lookup_result result) const;
    /// Limits a stream that can be resumed to the software versions that may write it. Returns
    /// whether the request can be admitted now; otherwise it waits or was refused.
    bool prepare_stream(exchange& ex);
    /// Asks the store which version began the stream that the caller resumes.
    void find_origin(exchange& ex);
    /// Refuses a request that resumes a stream, because nothing may go on with it.
    void refuse_resumed(exchange& ex, resumed_outcome outcome, const std::string& reason);
    /// The instances that may get the request.
    [[nodiscard]] instances::instance_filter allowed_instances(const exchange& ex) const;
    /// Returns the versions of the service that may begin streams, or null if they are not known.
    [[nodiscard]] const usable_versions* listed_versions_of(const std::string& service) const;
    /// Keeps the stream at the version of the instance that has sent its first event.
    void record_origin(exchange& ex);
    /// Records in the store which version began the stream. Returns whether the answer has to be
    /// awaited.
    bool record_in_store(exchange& ex);
    /// Records the streams whose version is known and that are not recorded yet.
    void record_known_streams();
    /// Records all streams again, because the store may have lost their rows.
    void record_streams_again();
    /// Passes events on to the caller, or keeps them until the stream is recorded.
    void pass_on(exchange& ex, std::string events);
    /// Passes the kept events on.
    void release_events(exchange& ex);
    /// The same, and ends the request if its response is complete.
    void recording_ended(exchange& ex);
    void admit(exchange& ex);
    /// Refuses a request that needs a service whose instances are all in drained failure domains or
    /// in regions that are not allowed. Returns whether it was refused.
    bool refuse_if_none_allowed(exchange& ex);
    /// Refuses a request whose stages cannot be made with its numbers of pieces. Returns whether it
    /// has done so.
    bool refuse_unusable_piece_counts(exchange& ex);
    /// Returns why no instance of a service may get the request, or an empty string.
    [[nodiscard]] std::string find_obstacle(const exchange& ex, const std::string& service) const;
    /// Refuses a request whose response cannot begin in time because of its stages. Returns whether
    /// it was admitted.
    bool admit_stages(exchange& ex);
    /// Moves the end of a request without a response forward, so that it is answered before an
    /// ordered stop closes its connection.
    void limit_to_stop(exchange& ex) const;
    /// Refuses a request that arrives in an ordered stop and may not end before it. Returns whether
    /// it was admitted.
    bool admit_in_stop(exchange& ex);
    /// Refuses a request that would be sent after the delay `until_sent` and may not end before an
    /// ordered stop cuts it. Returns whether it was refused.
    bool refuse_if_cut_by_stop(exchange& ex, common::duration until_sent);
    void start_deadline_timer(exchange& ex);
    void deadline_reached(std::uint64_t id);

    /// Time since the store last confirmed that the configuration is the newest. Nothing before the
    /// first read.
    [[nodiscard]] std::optional<common::duration> configuration_age() const;
    /// Whether the store has confirmed the configuration within the staleness limit.
    [[nodiscard]] bool has_current_configuration() const;
    /// The request as the estimator takes it.
    [[nodiscard]] static stages::staged_request staged(const exchange& ex);
    /// Returns the results that the request itself reads, by the failure domain that stores them.
    [[nodiscard]] std::vector<policy::stored_bytes> stored_results(const exchange& ex);
    [[nodiscard]] std::string preferred_domain(exchange& ex, std::uint32_t stage,
                                               const std::vector<std::string>& inputs);
    /// Adds the pieces of the request's stages to the counts of upcoming pieces.
    void record_upcoming(exchange& ex);
    void remove_upcoming(exchange& ex, std::uint32_t stage);
    /// Records when the first results of the request expire.
    static void record_result_expiry(exchange& ex, std::uint32_t stage);
    void advance_stages(exchange& ex);
    /// Whether the stage should be ordered later, because its results would occupy memory while
    /// other stages run.
    [[nodiscard]] bool should_defer(const exchange& ex, std::uint32_t stage) const;
    /// Returns whether the order was accepted.
    bool order_stage(exchange& ex, std::uint32_t stage);
    void cancel_orders(exchange& ex);
    void release_inputs(exchange& ex);

    void send(exchange& ex);
    /// Sends the request to an instance that can take it, or lets it wait. If possible, it is not
    /// sent to those in `avoided`, and otherwise to the first of them.
    void send_anywhere(exchange& ex, const std::vector<std::string>& avoided);
    /// Begins the search for an engine that may read the request's long prompt. Returns false if
    /// the request needs none.
    bool start_reading_search(exchange& ex);
    /// Asks for the next engine of the search. Returns false if there is none.
    bool ask_for_reading(exchange& ex);
    void apply_reading_step(exchange& ex, instances::reading_step step);
    void end_reading_search(exchange& ex);
    /// Tells the owner of the engine that the prompt has been read, or is not read there.
    void end_reading(exchange& ex);
    /// Sends the request to this instance, if need be after a check of its incarnation.
    void send_to(exchange& ex, const instances::instance_choice& choice);
    void start_attempt(exchange& ex, const instances::instance_choice& choice);
    /// Whether the software version of the instance matters to the request, and the store may not
    /// have shown yet that another incarnation with another version runs under its id.
    [[nodiscard]] bool must_check_incarnation(const exchange& ex,
                                              const upstream_instance& instance) const;
    /// Asks the instance when it was started, and then sends the request.
    void check_incarnation(exchange& ex, const instances::instance_choice& choice);
    void incarnation_checked(std::uint64_t id, std::uint64_t check_number,
                             const http::call_result& result);
    /// Returns the start time that an instance has reported, or nothing if it could not be asked.
    [[nodiscard]] std::optional<std::int64_t> reported_start(const http::call_result& result) const;
    /// Counts a send within or across failure domains.
    void record_placement(const instances::pool_member& member,
                          const instances::instance_choice& choice);
    [[nodiscard]] policy::routing_request make_routing_request(const exchange& ex);
    /// Returns the address of an instance that has the prompt's prefix in its cache, or an empty
    /// string if the chosen one needs none.
    [[nodiscard]] std::string cache_source(const exchange& ex,
                                           const instances::instance_choice& choice);
    /// Lets a request wait for an instance, or refuses it if none can take it in time.
    void wait_for_instance(exchange& ex, const instances::instance_choice& choice);
    /// Records that this task runs, and serves held requests when their time is over.
    void check_for_pause();
    void schedule_all_waiting();
    /// Serves the requests that wait for an instance, later in the event loop.
    void schedule_waiting(const std::string& service);
    /// The same at a time when an instance may be able to take a request.
    void schedule_waiting_at(const std::string& service, common::time_point time);
    void serve_waiting(const std::string& service);
    /// Applies what an instance says of itself.
    void notice_received(const exchange& ex, const response_head& head);
    [[nodiscard]] attempt_hooks make_hooks(std::uint64_t id);
    void head_received(exchange& ex);
    void events_received(exchange& ex, std::string events);
    void answered(exchange& ex, const attempt_response& response);
    void attempt_failed(exchange& ex, const attempt_failure& failure);
    /// Whether a stream could be resumed if its current attempt ended now.
    [[nodiscard]] bool another_instance_can_go_on(const exchange& ex);
    /// The input of the decision on what follows this end of the current attempt, without the
    /// budget.
    [[nodiscard]] attempt_facts facts_of(const exchange& ex, attempt_end end,
                                         common::time_point now);
    /// Decides what follows the end of an attempt, or of a stage, and does it.
    void attempt_ended(exchange& ex, attempt_end end, const std::string& detail);
    void restart_stages(exchange& ex);
    /// How long the upstream may take, if the request may be repeated at another one.
    [[nodiscard]] static std::optional<common::duration> attempt_time_limit(const exchange& ex);
    /// Releases the inputs after the time in which an engine that starts at once reads them.
    void schedule_input_release(exchange& ex);
    [[nodiscard]] std::uint64_t prefix_of(const exchange& ex) const;

    /// Refuses a request with a quarantined part of its prompt, unless a trial of that part is due
    /// at this gateway. Returns whether it was refused.
    bool refuse_if_quarantined(exchange& ex);
    /// Returns those parts of the request's prompt that are quarantined.
    [[nodiscard]] std::vector<prompt_part_id> quarantined_parts(const exchange& ex,
                                                                common::time_point now);
    /// Makes known that a request with quarantined parts is sent as their trial.
    void announce_trial(const exchange& ex);
    /// What the end of the current attempt shows of its instance.
    [[nodiscard]] evidence::attempt_outcome outcome_of(const exchange& ex) const;
    /// Records that the instance may have crashed on this request.
    void record_possible_crash(const exchange& ex, const attempt_failure& failure);
    /// Records a complete response, which may clear the parts of the prompt.
    void record_answer(const exchange& ex, const attempt_response& response);
    /// Records what the end of the current attempt shows of the parts of its prompt.
    void apply_finding(const exchange& ex, evidence::part_finding finding);
    /// Records that an answer goes on, which clears the parts of its prompt.
    void record_sound_answer(const exchange& ex, common::time_point began);
    /// Records a response of an instance that may have been taken for crashed.
    void record_alive(const exchange& ex);
    /// Applies evidence and sends it to the other gateways, together with what follows soon.
    void share_evidence(const crash_evidence& evidence);
    void send_evidence();
    void log_suspect(const evidence::suspect_view& part) const;
    [[nodiscard]] boost::json::array dump_quarantined() const;

    void respond(exchange& ex, const http::response& response, request_end end,
                 const std::string& reason);
    void refuse(exchange& ex, unsigned status, const std::string& reason,
                std::optional<common::duration> retry_after = {});
    void finish(exchange& ex, request_end end, unsigned status, const std::string& reason);
    void log_end(const exchange& ex, request_end end, unsigned status, const std::string& reason,
                 common::duration took) const;

    exchange* find(std::uint64_t id);
    instances::service_pool& pool_of(const std::string& service);
    /// Applies this gateway's share of the limits that all gateways have together.
    void update_limits(const std::string& service, instances::service_pool& pool);
    [[nodiscard]] instances::warm_up_rule make_warm_up_rule(const std::string& service,
                                                            const warm_up_limit& limit);
    [[nodiscard]] std::size_t count_cold() const;
    [[nodiscard]] static boost::json::array dump_cold(const instances::service_pool& pool);

    runtime::task_context m_context;
    runtime::inbox<forwarder_message> m_inbox;
    runtime::address<peers_message> m_peers;
    runtime::address<stream_registry_message> m_streams;
    std::shared_ptr<const adapter> m_adapter;
    forwarder_options m_options;
    configuration_pointer m_configuration;
    std::optional<common::time_point> m_configuration_confirmed;
    upstream_map_pointer m_upstreams;
    /// Services whose instances are all in drained failure domains.
    std::set<std::string> m_drained_services;
    /// The software versions that may begin streams, by service.
    std::map<std::string, usable_versions> m_listed_versions;
    std::size_t m_store_restores = 0;
    instances::domain_index m_domains;
    std::map<std::string, std::unique_ptr<instances::service_pool>> m_pools;
    /// Memory for the bodies of responses.
    http::buffer_budget m_bodies;
    instances::warm_up_share m_warm_up_share;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_exchanges;
    /// Requests that wait until this gateway has read the store, in order of their arrival.
    std::vector<std::uint64_t> m_held;
    /// When the upstreams were first known, and the end of the time in which they may be
    /// incomplete.
    std::optional<common::time_point> m_first_list;
    runtime::timer m_settling_timer;
    /// Maps the number of each order to the id of its request.
    std::map<std::uint64_t, std::uint64_t> m_orders;
    std::uint64_t m_next_order;
    /// Long prompts that the engines of this gateway read.
    instances::reading_schedule m_readings;
    /// Maps the number of each question for a reading to the id of its request.
    std::map<std::uint64_t, std::uint64_t> m_reading_questions;
    std::uint64_t m_last_check = 0;
    std::uint64_t m_next_question;
    stages::stage_estimator m_estimator;
    /// Names of all gateways.
    std::vector<std::string> m_gateways;
    std::size_t m_gateway_count = 1;
    std::map<std::string, std::size_t> m_gateways_per_domain;
    /// The next time at which waiting requests of a service are tried again.
    struct scheduled_retry {
        std::unique_ptr<runtime::timer> timer;
        common::time_point at;
    };
    std::map<std::string, scheduled_retry> m_retries;
    instances::pause_guard m_pause_guard;
    runtime::timer m_pause_guard_timer;
    response_times m_response_times;
    /// When an ordered stop closes the callers' connections.
    std::optional<common::time_point> m_stop_deadline;
    forwarder_metrics m_metrics;
    logging::logger m_log{"forwarder"};
    evidence::crash_suspects m_suspects;
    /// Evidence that the other gateways have not got yet.
    crash_evidence m_unsent_evidence;
    runtime::timer m_evidence_timer;
};

} // namespace jujubemast::gateway::requests

namespace jujubemast::common {

template <>
struct enum_names<gateway::requests::lookup_result> {
    static constexpr std::array<std::string_view, 5> table{"found", "no_route", "unusable_route",
                                                           "unknown_key", "unusable_workspace"};
};

} // namespace jujubemast::common
