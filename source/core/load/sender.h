#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/event_stream.h"
#include "load/arrival_schedule.h"
#include "load/messages.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::load {

struct sender_hooks {
    verify_hook verify;
    common::clock_hook clock = common::system_monotonic_clock_hook();
};

/// Sends every request at its scheduled time, whether or not the earlier ones have completed (open
/// loop), to the ready entries in turn. The run ends by itself, because no request is waited for
/// longer than its deadline plus a short grace period.
class sender final : public runtime::task {
public:
    sender(runtime::task_context context, std::shared_ptr<runtime::mailbox<sender_message>> inbox,
           runtime::address<reporter_message> reporter, std::shared_ptr<const experiment> source,
           const std::vector<http::endpoint>& entries, sender_hooks hooks);

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct entry_client {
        std::unique_ptr<http::client> client;
        bool ready = true;
    };

    /// A request in progress.
    struct exchange {
        planned_request plan;
        common::time_point scheduled_time;
        std::size_t entry = 0;
        std::size_t connect_attempts = 0;
        http::call_id call = 0;
        unsigned status = 0;
        std::string body;
        std::unique_ptr<http::event_stream_parser> events;
        common::time_point last_token{};
        request_outcome outcome;
        bool complete = false;
    };

    void handle(const entry_readiness& message);
    void send_due();
    void start_request(planned_request plan);
    void send(exchange& it);
    [[nodiscard]] std::size_t next_entry();
    void head_received(std::uint64_t number, unsigned status, const http::headers& fields);
    void data_received(std::uint64_t number, std::string_view bytes);
    void event_received(std::uint64_t number, const http::stream_event& event);
    void token_received(exchange& it) const;
    void response_received(exchange& it, std::string_view text);
    void body_complete(std::uint64_t number);
    void call_failed(std::uint64_t number, const http::call_error& error);
    void finish(std::uint64_t number);
    void expire_overdue();
    void report(request_outcome outcome);
    void end_run();

    runtime::task_context m_context;
    runtime::inbox<sender_message> m_inbox;
    runtime::address<reporter_message> m_reporter;
    std::shared_ptr<const experiment> m_experiment;
    sender_hooks m_hooks;
    std::string m_run_id;
    logging::logger m_log{"sender"};
    arrival_schedule m_schedule;
    runtime::timer m_timer;
    runtime::timer m_overdue_timer;
    std::vector<entry_client> m_entries;
    std::size_t m_last_entry = 0;
    common::time_point m_begin;
    std::optional<planned_request> m_next;
    std::map<std::uint64_t, exchange> m_exchanges;
    std::uint64_t m_sent = 0;
    bool m_ended = false;
};

} // namespace jujubemast::load
