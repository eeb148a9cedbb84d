#pragma once

#include <memory>

#include "common/random.h"
#include "common/time.h"
#include "entry/claim_tracker.h"
#include "entry/messages.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "table_service/store.h"

namespace jujubemast::entry {

/// Clocks and random source of the claims task, replaceable in tests.
struct claims_hooks {
    common::clock_hook clock = common::system_monotonic_clock_hook();
    common::wall_clock_hook wall_clock = common::system_wall_clock_hook();
    common::random_hook random = common::system_random();
};

/// Task that owns the idempotency claims of one entry and the connections to the store that they
/// need. Each message is answered within `claim_limits::max_wait`, whether or not the store
/// responds.
class claims final : public runtime::task {
public:
    claims(runtime::task_context context, std::shared_ptr<runtime::mailbox<claims_message>> inbox,
           runtime::address<coordinator_message> coordinator, const http::endpoint& platform,
           claim_limits limits, claims_hooks hooks = {});

    void start() override;
    /// Waits until all outcomes are stored, or until a timeout.
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const claim_request& message);
    void handle(const close_claim& message);
    void perform(const claim_actions& actions);
    void perform_one(const commit_group& action);
    void perform_one(const read_claim& action);
    template <typename Response>
    void perform_one(const Response& action);
    void arm_timer();

    runtime::task_context m_context;
    runtime::inbox<claims_message> m_inbox;
    runtime::address<coordinator_message> m_coordinator;
    table_service::store m_store;
    claims_hooks m_hooks;
    claim_tracker m_tracker;
    runtime::timer m_timer;
    runtime::timer m_stop_timer;
    logging::logger m_log{"claims"};
    std::uint64_t m_granted = 0;
    std::uint64_t m_denied = 0;
    std::uint64_t m_recorded = 0;
    std::uint64_t m_not_recorded = 0;
    runtime::stop_done m_stop_done;
};

} // namespace jujubemast::entry
