#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/random.h"
#include "entry/messages.h"
#include "entry/request_flow.h"
#include "logging/logger.h"
#include "policy/routing.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::entry {

/// Decisions of the coordinator that can be replaced.
struct coordinator_hooks {
    policy::routing_hook route;
    retry_hook may_retry;
    common::clock_hook clock = common::system_clock_hook();
    common::random_hook random = common::system_random();
};

/// Owns the state of all requests of one entry: authenticates them, runs their stages one after
/// the other and answers their callers.
class coordinator final : public runtime::task {
public:
    coordinator(runtime::task_context context,
                std::shared_ptr<runtime::mailbox<coordinator_message>> inbox,
                runtime::address<links_message> links, std::string failure_domain,
                coordinator_hooks hooks);

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct active_request {
        request_flow flow;
        http::responder reply;
        std::unique_ptr<runtime::timer> deadline_timer;
        bool stream_begun = false;
        std::unique_ptr<runtime::timer> wait_timer;
    };

    struct upstream_state {
        link_status status;
        std::uint32_t sent_since_report = 0;
    };

    void handle(submit message);
    void handle(const caller_disconnected& message);
    void handle(const configuration_changed& message);
    void handle(const work_message& message);
    void handle(const link_status& message);
    void handle(const link_removed& message);
    void handle(const work_not_sent& message);

    void begin_request(submit message, const tickets::workspace_settings& workspace,
                       const tickets::pipeline_settings& pipeline);
    void refuse(const http::responder& reply, const problem& content);
    void perform(std::uint64_t id, const flow_actions& actions);
    void perform_one(std::uint64_t id, active_request& request, const dispatch_stage& action);
    void perform_one(std::uint64_t id, active_request& request, const send_to_upstream& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_piece& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_answer& action);
    void perform_one(std::uint64_t id, active_request& request, const deliver_problem& action);
    void perform_one(std::uint64_t id, active_request& request, const wait_for_upstream& action);
    void begin_stream(active_request& request);
    void remove_if_finished(std::uint64_t id);
    void fail_work_on(const std::string& instance);
    void ask_for_work_on(const std::string& instance);
    [[nodiscard]] std::vector<std::uint64_t> requests_on(const std::string& instance) const;
    [[nodiscard]] upstream_state* choose(const request_flow& flow, const dispatch_stage& action);

    runtime::task_context m_context;
    runtime::inbox<coordinator_message> m_inbox;
    runtime::address<links_message> m_links;
    std::string m_failure_domain;
    coordinator_hooks m_hooks;
    logging::logger m_log{"coordinator"};
    tickets::configuration_pointer m_configuration;
    std::unordered_map<std::uint64_t, active_request> m_requests;
    std::unordered_map<std::string, std::uint64_t> m_ids;
    std::map<std::string, upstream_state> m_upstreams;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
    runtime::stop_done m_done;
};

} // namespace jujubemast::entry
