#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/digest.h"
#include "common/enum_names.h"
#include "common/random.h"
#include "logging/logger.h"
#include "policy/admission_control.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "sidecar/messages.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/status_reporter.h"

namespace jujubemast::sidecar {

/// State of a work record at a sidecar.
enum class work_state { queued, running, finished, cancelled, released };

struct admission_options {
    std::uint32_t retry_after_ms = 1000;
    /// An outcome that is not acknowledged is resent after this time.
    common::duration resend_interval = std::chrono::milliseconds{500};
    /// Minimum time between two reports of a changed load.
    common::duration status_interval = std::chrono::milliseconds{5};
    policy::capacity_shares shares;
    policy::deadline_check_options deadlines;
};

struct admission_hooks {
    policy::queue_hooks queue;
    policy::limit_hooks limit;
    common::clock_hook clock = common::system_monotonic_clock_hook();
    common::random_hook random = common::system_random();
};

/// Task that decides which work runs at the upstream and when. Keeps results until they are
/// acknowledged or their deadline has passed. The identity of all work is kept until its deadline,
/// so that a late copy of a dispatch never runs.
class admission final : public runtime::task {
public:
    admission(runtime::task_context context,
              std::shared_ptr<runtime::mailbox<admission_message>> inbox,
              runtime::address<link_command> link, runtime::address<upstream_command> upstream,
              admission_options options, admission_hooks hooks);

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct work_record {
        std::uint64_t id = 0;
        std::string routing_id;
        protocol::dispatch dispatch;
        work_state state = work_state::queued;
        common::time_point deadline;
        common::time_point queued_at;
        common::time_point started_at;
        std::vector<std::string> chunks;
        /// The connection that the work arrived over is lost, so its outcome will not be
        /// acknowledged.
        bool orphaned = false;
        common::content_digest digest;
        /// The final message about the work. Set once the work has ended.
        std::unique_ptr<protocol::message> outcome;
    };

    void handle(const entry_message& message);
    void handle(const call_chunk& message);
    void handle(const call_done& message);
    void handle(const call_failed& message);
    void handle(const connection_lost& message);
    void handle(const leaving_changed& message);
    void handle(const drain_announced& message);
    void handle(const admin::metrics_query& message);
    void handle(const shares_changed& message);

    void dispatch_received(const std::string& routing_id, const protocol::dispatch& dispatch);
    void cancel_received(const std::string& routing_id, const protocol::cancel& cancel);
    void acknowledge_received(const protocol::acknowledge& acknowledge);
    void fetch_received(const std::string& routing_id, const protocol::fetch& fetch);

    void enqueue(work_record& record);
    void start_queued_calls();
    void start_call(work_record& record);
    void refuse(work_record& record, protocol::refusal_reason reason, common::execution execution,
                std::string detail);
    void send_refusal(const std::string& routing_id, const protocol::work_identity& identity,
                      protocol::refusal_reason reason, common::execution execution,
                      std::string detail);
    void finish(work_record& record, protocol::message outcome);
    void cancel_running(work_record& record);
    work_record& add_tombstone(const protocol::work_identity& identity, std::int64_t deadline_us);
    void abandon(work_record& record);
    void cancel_record(work_record& record, common::execution execution, std::string detail);
    void release(work_record& record);
    void return_queued_work(const std::string& detail);
    void resend_outcomes(common::time_point now);
    [[nodiscard]] bool accepts_work() const { return !m_draining && !m_leaving; }
    void expire();
    void schedule_expiry();
    [[nodiscard]] status_changed read_status() const;
    void check_drained();
    work_record* find(const protocol::work_identity& identity);
    work_record* find_call(std::uint64_t id);
    void remove_record(const work_record& record);

    runtime::task_context m_context;
    runtime::inbox<admission_message> m_inbox;
    runtime::address<link_command> m_link;
    runtime::address<upstream_command> m_upstream;
    admission_options m_options;
    admission_hooks m_hooks;
    policy::admission_control m_control;
    status_reporter m_status;
    logging::logger m_log{"admission"};
    runtime::timer m_expiry_timer;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_next_id = 1;
    std::map<std::uint64_t, work_record> m_records;
    std::map<protocol::work_identity, std::uint64_t> m_id_by_identity;
    std::multimap<common::time_point, std::uint64_t> m_deadlines;
    /// Outcomes that are not acknowledged, with the time when each was last sent.
    std::map<std::uint64_t, common::time_point> m_unacknowledged;
    std::uint32_t m_running = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_failed = 0;
    sidecar_metrics m_metrics;
    bool m_draining = false;
    /// Whether the membership list marks this instance as leaving.
    bool m_leaving = false;
    /// Whether all entries have stopped sending work and the work in transit has arrived.
    bool m_drain_announced = false;
    runtime::stop_done m_stop_done;
};

} // namespace jujubemast::sidecar

namespace jujubemast::common {

template <>
struct enum_names<sidecar::work_state> {
    static constexpr std::array<std::string_view, 5> table{"queued", "running", "finished",
                                                           "cancelled", "released"};
};

} // namespace jujubemast::common
