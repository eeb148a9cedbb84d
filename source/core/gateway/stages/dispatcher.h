#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "gateway/adapter.h"
#include "gateway/instances/instance_state.h"
#include "gateway/instances/pause_guard.h"
#include "gateway/instances/send_window.h"
#include "gateway/messages.h"
#include "gateway/stages/piece_placement.h"
#include "gateway/stages/piece_queue.h"
#include "gateway/stages/result_memory.h"
#include "http/client.h"
#include "logging/logger.h"
#include "policy/outlier_detector.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::gateway::stages {

/// How a call without results ended.
enum class call_end {
    /// The instance has certainly not run it.
    not_run,
    /// A response without results. The instance no longer works on the call.
    refused,
    /// The instance may still work on the call.
    no_response
};

/// Makes the pieces of stages. Keeps a queue for each service that has orders at this gateway,
/// batches pieces into calls to free instances, and reports the outcome of each order once. A
/// repeated order is answered with the stored outcome.
class dispatcher final : public runtime::task {
public:
    dispatcher(runtime::task_context context,
               std::shared_ptr<runtime::mailbox<dispatcher_message>> inbox,
               runtime::address<peers_message> peers,
               std::shared_ptr<const adapter> platform_adapter, piece_placement placement = {});

    void start() override;
    /// Completes the orders of all gateways, until the deadline of `shutdown_started` at the
    /// latest.
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    // An instance that refused a call or has no free memory is full. Within about this time one of
    // its calls ends or one of its results is released.
    static constexpr common::duration refusal_backoff = std::chrono::milliseconds{100};

    struct order_state {
        piece_order order;
        std::vector<std::string> handles;
        std::uint32_t pieces_left = 0;
        /// Pieces whose calls have had enough time to read the inputs.
        std::uint32_t pieces_started = 0;
        unsigned failures = 0;
        bool finished = false;
        common::time_point finished_at;
        order_outcome outcome;
        /// Failure domain of the call that took the first pieces. The others are made there as
        /// well, so that one engine can read all of them without a transfer.
        std::string started_domain;
        /// Since when the pieces wait for an instance in the preferred domain.
        std::optional<common::time_point> held_since;

        [[nodiscard]] const std::string& preferred_domain() const {
            return started_domain.empty() ? order.preferred_domain : started_domain;
        }
    };

    struct stage_instance {
        upstream_instance identity;
        instances::instance_state state;
        std::unique_ptr<http::client> client;
        std::size_t calls = 0;
        /// When its last call is expected to end.
        common::time_point expected_end;
        /// The instance gets no call before this time, for example because it refused one.
        common::time_point backoff_until;
        result_memory memory;
        /// Calls of other gateways that the instance runs, according to its last report. Zero when
        /// the time of that report is over and no other one is requested.
        std::size_t foreign_calls = 0;
        /// Until this time the instance is polled for reports while it has calls or results of
        /// other gateways.
        common::time_point poll_reports_until;
        bool report_pending = false;
        /// The instance is not used until it reports what a previous owner left there.
        bool awaiting_report = false;
        std::unique_ptr<runtime::timer> report_timer;
        std::vector<std::string> to_release;
        /// Calls of the last second, for the limit of cold instances.
        instances::send_window sends;
    };

    struct service_state {
        piece_queue queue;
        /// No further call before this time, so that calls are spread over the instances.
        common::time_point next_call;
        std::map<std::string, std::shared_ptr<stage_instance>> instances;
        policy::outlier_detector health;
        /// Another gateway may have used the instances since this one last did.
        bool needs_reports = true;
        /// The owner of the service, and since when: its last change, or a pause of this process.
        std::string owner;
        common::time_point owner_changed = common::monotonic_clock::now();
    };

    struct call_state {
        std::string service;
        std::shared_ptr<stage_instance> instance;
        std::vector<queued_piece> pieces;
        common::time_point sent;
        std::unique_ptr<runtime::timer> timeout_timer;
        std::unique_ptr<runtime::timer> input_read_timer;
        http::call_id id = 0;
    };

    void handle(const discovery_update& message);
    void handle(const drains_confirmed& message);
    void handle(const piece_order& message);
    void handle(const cancel_order& message);
    void handle(const release_results& message);
    void handle(const owners_changed& message);
    void handle(const process_paused& message);
    void handle(const shutdown_started& message);
    void end_stop_if_idle();

    void update_instances(const std::string& name, service_state& service);
    void set_domain_drained(const std::string& name,
                            const std::shared_ptr<stage_instance>& instance, bool drained);
    /// Brings the phases of all instances up to date.
    static void update_states(service_state& service);
    /// When the first pause of an instance ends; nothing if none pauses.
    [[nodiscard]] static std::optional<common::time_point>
    first_pause_end(const service_state& service);
    /// Applies what an instance says of itself.
    void notice_received(const std::string& service, stage_instance& instance,
                         const response_head& head);
    [[nodiscard]] const piece_limits* limits_of(const std::string& service) const;
    [[nodiscard]] service_backlog backlog_of(const std::string& name, service_state& service) const;
    /// Whether a call to this instance may take pieces of the order. Returns false if an instance
    /// in the preferred failure domain should take them.
    [[nodiscard]] bool may_take(const std::string& name, const stage_instance& instance,
                                const piece_limits& limits, const order_key& order);
    /// Returns the expected time until an instance in this failure domain and an allowed region
    /// is free. Nothing if none there accepts work.
    [[nodiscard]] std::optional<common::duration> until_free_in(const std::string& failure_domain,
                                                                const allowed_regions& regions,
                                                                const std::string& name,
                                                                const piece_limits& limits,
                                                                common::time_point now) const;
    void report_backlogs();
    [[nodiscard]] std::size_t usable_instances(service_state& service) const;

    void dispatch(const std::string& name);
    void dispatch_all();
    std::shared_ptr<stage_instance>
    pick_free_instance(const std::string& name, service_state& service, const piece_limits& limits);
    /// When the limit of cold instances permits a call to this one.
    [[nodiscard]] common::time_point next_call_time(const std::string& service,
                                                    const stage_instance& instance,
                                                    common::time_point now) const;
    void send_call(const std::string& name, const piece_limits& limits,
                   const std::shared_ptr<stage_instance>& instance,
                   std::vector<queued_piece> pieces);
    /// Returns false if other gateways may still call the instances of a service, because they do
    /// not know yet who owns it.
    [[nodiscard]] bool is_ownership_settled(const std::string& service,
                                            common::time_point now) const;
    /// Called when the call has had enough time to read its inputs.
    void mark_inputs_read(std::uint64_t number);
    void call_ended(std::uint64_t number, const http::call_result& result);
    void response_received(call_state& call, const http::response& response);
    void call_failed(call_state& call, const std::string& reason, call_end end);
    /// Counts one failure for each order that has pieces in a failed call.
    void count_failure(const std::vector<queued_piece>& pieces);
    void piece_ended(call_state& call, const queued_piece& piece, const piece_result& result);
    void retry_piece(order_state& state, std::uint32_t piece);
    void finish_order(order_state& state, order_outcome outcome);
    void queue_release(const std::string& service, const std::vector<std::string>& handles);
    void schedule_release();
    void send_releases();
    void release_finished(const std::string& service, stage_instance& instance,
                          const std::vector<std::string>& handles, const http::call_result& result);
    /// Requests reports from all instances before they are used again.
    void request_reports(const std::string& name, service_state& service);
    /// Requests a report, and repeats it while the instance has calls or results of other gateways.
    void request_report(const std::string& name, const std::shared_ptr<stage_instance>& instance);
    void send_report_query(const std::string& name,
                           const std::shared_ptr<stage_instance>& instance);
    void report_received(const std::string& name, stage_instance& instance,
                         const http::call_result& result);
    void schedule_report(const std::string& name, stage_instance& instance);
    void poll_report(const std::string& name, const std::string& id);
    /// Whether an instance in an allowed region takes work, or will when its pause ends.
    [[nodiscard]] static bool may_be_made(const service_state& service,
                                          const allowed_regions& regions);
    /// Finishes the orders whose pieces wait although all instances are in drained failure domains
    /// or in regions that are not allowed.
    void refuse_orders_without_instances(const std::string& name, service_state& service);
    void schedule_dispatch(const std::string& name, common::duration delay);
    void forget_finished();
    /// Returns the handles of the pieces that have been made so far.
    static std::vector<std::string> made_handles(const order_state& state);

    runtime::task_context m_context;
    runtime::inbox<dispatcher_message> m_inbox;
    runtime::address<peers_message> m_peers;
    std::shared_ptr<const adapter> m_adapter;
    piece_placement m_placement;
    configuration_pointer m_configuration;
    upstream_map_pointer m_upstreams;
    std::map<std::string, service_state> m_services;
    std::map<order_key, order_state> m_orders;
    std::deque<std::pair<common::time_point, order_key>> m_finished;
    std::map<std::uint64_t, call_state> m_calls;
    std::uint64_t m_next_call = 1;
    std::map<std::string, std::unique_ptr<runtime::timer>> m_dispatch_timers;
    /// The next time at which a cold instance may be called, by service.
    std::map<std::string, std::unique_ptr<runtime::timer>> m_warm_up_timers;
    instances::pause_guard m_pause_guard;
    runtime::timer m_report_timer;
    /// Whether the last backlog report of a service showed waiting pieces or busy instances.
    std::map<std::string, bool> m_reported_busy;
    runtime::timer m_release_timer;
    bool m_release_scheduled = false;
    common::time_point m_stop_deadline;
    runtime::timer m_stop_timer;
    runtime::stop_done m_stop_done;
    logging::logger m_log{"dispatcher"};
};

} // namespace jujubemast::gateway::stages

namespace jujubemast::common {

template <>
struct enum_names<gateway::stages::call_end> {
    static constexpr std::array<std::string_view, 3> table{"not_run", "refused", "no_response"};
};

} // namespace jujubemast::common
