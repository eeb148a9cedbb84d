#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/event_stream.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "sidecar/messages.h"
#include "tickets/configuration.h"

namespace jujubemast::sidecar {

struct upstream_options {
    http::endpoint address;
    tickets::pool_kind kind = tickets::pool_kind::service;
    /// Longest time between two chunks of a result.
    common::duration progress_timeout = std::chrono::seconds{5};
};

/// Task that makes the HTTP calls to the upstream next to this process. Services respond with a
/// whole body, engines with a stream of events that carry tokens.
class upstream final : public runtime::task {
public:
    upstream(runtime::task_context context,
             std::shared_ptr<runtime::mailbox<upstream_command>> inbox,
             runtime::address<admission_message> admission, upstream_options options);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct call {
        http::call_id http_call = 0;
        protocol::work_identity identity;
        unsigned status = 0;
        std::string body;
        std::unique_ptr<http::event_stream_parser> events;
        std::uint64_t tokens = 0;
        bool complete = false;
    };

    void handle(const start_call& command);
    void handle(const cancel_call& command);
    [[nodiscard]] http::request make_request(const start_call& command) const;
    [[nodiscard]] common::duration head_timeout_of(const start_call& command) const;
    void data_received(std::uint64_t id, std::string_view bytes);
    void event_received(std::uint64_t id, const http::stream_event& event);
    void call_ended(std::uint64_t id);
    void transport_failed(std::uint64_t id, const http::call_error& error);
    void report_failure(call_failed failure);

    runtime::task_context m_context;
    runtime::inbox<upstream_command> m_inbox;
    runtime::address<admission_message> m_admission;
    upstream_options m_options;
    http::client m_client;
    logging::logger m_log{"upstream"};
    std::map<std::uint64_t, call> m_calls;
};

} // namespace jujubemast::sidecar
