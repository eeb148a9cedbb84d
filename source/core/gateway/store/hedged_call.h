#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "common/time.h"
#include "http/client.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// A call to a server that may not respond, as a store that is away or rejects this gateway. Each
/// attempt may hang until its timeout, although the server responds to new ones meanwhile. The call
/// is therefore sent again at an interval, on a connection of its own, and the attempt whose
/// response begins first is the one that counts. Belongs to one task.
class hedged_call {
public:
    /// Receives the response, or the error of the first attempt that fails, and when that attempt
    /// was sent.
    using done_hook = std::function<void(const http::call_result&, common::time_point sent)>;

    hedged_call(const runtime::task_context& context, http::client& client);
    ~hedged_call() { cancel(); }
    hedged_call(const hedged_call&) = delete;
    hedged_call& operator=(const hedged_call&) = delete;

    /// Starts a call in place of the one in progress. Without an interval it is sent once.
    void start(http::request message, const http::call_options& options,
               std::optional<common::duration> interval, done_hook done);

    /// Ends the call in progress without calling its hook.
    void cancel();

private:
    struct attempt {
        http::call_id id = 0;
        common::time_point sent;
        http::response response;
    };

    void send_attempt();
    /// Ends all other attempts, because the response to this one has begun.
    void keep_only(const std::shared_ptr<attempt>& answered);
    void end(const std::shared_ptr<attempt>& ended, const http::call_result& result);
    void schedule_attempt();

    runtime::task_context m_context;
    http::client& m_client;
    runtime::timer m_timer;
    http::request m_message;
    http::call_options m_options;
    std::optional<common::duration> m_interval;
    done_hook m_done;
    std::vector<std::shared_ptr<attempt>> m_attempts;
};

} // namespace jujubemast::gateway::store
