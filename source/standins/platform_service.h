#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "standins/service_messages.h"
#include "standins/table_storage.h"

namespace jujubemast::standins {

/// Faults that the stand-in platform injects. PUT /control/faults sets them.
struct platform_faults {
    /// Responds to every call with status 503.
    bool outage = false;
    /// Responds to no call.
    bool silent = false;
    /// Delay of every response.
    common::duration delay = common::duration::zero();
    /// Number of transactions that are still to be processed without a response.
    std::int64_t lost_responses = 0;
    /// Starts an outage with the next lost response, so that the outcome cannot be read back.
    bool outage_after_loss = false;
    /// Time until a change of the membership list becomes visible.
    common::duration membership_lag = common::duration::zero();
};

/// Simulates the platform: table service, object store, membership list and weight store.
class platform_service final : public runtime::task {
public:
    platform_service(runtime::task_context context,
                     std::shared_ptr<runtime::mailbox<service_message>> inbox);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    struct delayed_call {
        http_call call;
        std::unique_ptr<runtime::timer> timer;
    };

    void handle_call(http_call call);
    void serve(const http_call& call);
    void serve_rows(const http_call& call, const std::vector<std::string_view>& segments,
                    std::string_view query);
    void serve_transaction(const http_call& call);
    void serve_object(const http_call& call, const std::string& name);
    void serve_weights(const http_call& call);
    void serve_control(const http_call& call, std::string_view resource);
    void set_faults(const http_call& call);
    void set_membership(const http_call& call);

    runtime::task_context m_context;
    runtime::inbox<service_message> m_inbox;
    table_storage m_storage;
    std::map<std::string, std::string> m_objects;
    platform_faults m_faults;
    std::string m_membership = R"({"instances":[]})";
    std::map<std::uint64_t, delayed_call> m_delayed;
    std::vector<std::unique_ptr<runtime::timer>> m_timers;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    /// Start of the current one-second window of the rate limit, and the weights served in it.
    common::time_point m_weights_window_start;
    std::int64_t m_weights_served = 0;
    std::int64_t m_weights_per_second = 10;
};

} // namespace jujubemast::standins
