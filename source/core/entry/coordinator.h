#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/enum_names.h"
#include "common/random.h"
#include "entry/entry_metrics.h"
#include "entry/messages.h"
#include "entry/request_flow.h"
#include "entry/upstream_set.h"
#include "logging/logger.h"
#include "policy/routing.h"
#include "policy/stage_timing.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::entry {

/// Replaceable decisions and sources of time and randomness of the coordinator.
struct coordinator_hooks {
    policy::routing_hook route;
    retry_hook may_retry;
    /// Limits retries with a budget for each pool and delays them with a random backoff.
    bool budget_retries = true;
    /// Sends a second attempt of an idempotent stage that is slow to respond.
    bool hedge = true;
    common::clock_hook clock = common::system_monotonic_clock_hook();
    common::random_hook random = common::system_random();
};

/// Limits of one coordinator.
struct coordinator_limits {
    std::size_t max_requests = 3072;
    /// Larger responses are not stored with their claim.
    std::size_t max_outcome_bytes = std::size_t{64} * 1024;
};

/// State of a request's idempotency claim; `none` if the request needs no claim or its claim is
/// closed.
enum class claim_progress { none, waiting, granted, closing };

/// Task that owns the state of all requests of one entry. It authenticates requests, runs their
/// stages one after the other and responds to their callers.
class coordinator final : public runtime::task {
public:
    coordinator(runtime::task_context context,
                std::shared_ptr<runtime::mailbox<coordinator_message>> inbox,
                runtime::address<links_message> links, runtime::address<claims_message> claims,
                std::string failure_domain, coordinator_hooks hooks,
                coordinator_limits limits = {});

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct active_request {
        request_flow flow;
        http::responder reply;
        std::unique_ptr<runtime::timer> deadline_timer;
        /// Fires when a hedge, a delayed retry or a new search for an upstream is due.
        std::unique_ptr<runtime::timer> attempt_timer;
        bool stream_begun = false;
        claim_progress claim = claim_progress::none;
        /// The response that is held until the outcome is recorded or the wait for the store ends.
        http::response pending_response;
    };

    void handle(submit message);
    void handle(const caller_disconnected& message);
    void handle(const configuration_changed& message);
    void handle(const work_message& message);
    void handle(const link_status& message);
    void handle(const link_removed& message);
    void handle(const work_not_sent& message);
    void handle(const admin::metrics_query& message);
    void handle(const claim_granted& message);
    void handle(const claim_denied& message);
    void handle(const claim_closed& message);

    void begin_request(submit message, const tickets::workspace_settings& workspace,
                       const tickets::pipeline_settings& pipeline);
    void refuse(const http::responder& reply, const problem& content);
    void perform(std::uint64_t id, const flow_actions& actions);
    void perform_one(std::uint64_t id, active_request& request, const dispatch_stage& action);
    void perform_one(std::uint64_t id, active_request& request, const send_to_upstream& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_chunk& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_response& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_problem& action);
    void perform_one(std::uint64_t id, active_request& request, const wait_for_upstream& action);
    void begin_stream(active_request& request);
    void start_flow(std::uint64_t id, active_request& request);
    void request_claim(std::uint64_t id, active_request& request, const std::string& key);
    /// Responds to the caller. The outcome of a claimed request is recorded first.
    void finish(std::uint64_t id, active_request& request, http::response response,
                common::execution execution);
    void send_response(active_request& request, http::response response);
    void replay_outcome(active_request& request, const stored_outcome& outcome);
    void remove(std::uint64_t id);
    void remove_if_finished(std::uint64_t id);
    void fail_attempts_on(const std::string& instance);
    void refetch_results_from(const std::string& instance);
    [[nodiscard]] std::vector<std::uint64_t> requests_on(const std::string& instance) const;
    void dispatch_now(std::uint64_t id, active_request& request, const dispatch_stage& action);
    void dispatch_later(std::uint64_t id, active_request& request, const dispatch_stage& action);
    void schedule_hedge(std::uint64_t id, active_request& request);
    void record_attempt_progress(const request_flow& flow, const work_message& message);
    void record_unresponsive_attempts(const request_flow& flow);
    [[nodiscard]] retry_hook make_retry_hook();
    /// Returns the time that the stages after this one are expected to need.
    [[nodiscard]] common::duration reserve_after(const request_plan& plan, std::size_t stage) const;

    runtime::task_context m_context;
    runtime::inbox<coordinator_message> m_inbox;
    runtime::address<links_message> m_links;
    runtime::address<claims_message> m_claims;
    std::string m_failure_domain;
    coordinator_hooks m_hooks;
    coordinator_limits m_limits;
    logging::logger m_log{"coordinator"};
    tickets::configuration_pointer m_configuration;
    std::unordered_map<std::uint64_t, active_request> m_requests;
    std::unordered_map<std::string, std::uint64_t> m_id_by_request;
    upstream_set m_upstreams;
    policy::stage_timing m_timing;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
    entry_metrics m_metrics;
    std::uint64_t m_hedges = 0;
    /// Repeated requests that were answered with a recorded outcome.
    std::uint64_t m_repeated = 0;
    runtime::stop_done m_stop_done;
};

} // namespace jujubemast::entry

namespace jujubemast::common {

template <>
struct enum_names<entry::claim_progress> {
    static constexpr std::array<std::string_view, 4> table{"none", "waiting", "granted", "closing"};
};

} // namespace jujubemast::common
