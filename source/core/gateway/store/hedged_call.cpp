#include "gateway/store/hedged_call.h"

#include <utility>

namespace jujubemast::gateway::store {

hedged_call::hedged_call(const runtime::task_context& context, http::client& client)
    : m_context{context}, m_client{client}, m_timer{context.loop()} {}

void hedged_call::start(http::request message, const http::call_options& options,
                        std::optional<common::duration> interval, done_hook done) {
    cancel();
    m_message = std::move(message);
    m_options = options;
    m_interval = interval;
    m_done = std::move(done);
    send_attempt();
}

void hedged_call::cancel() {
    m_timer.cancel();
    for (const auto& it : std::exchange(m_attempts, {})) {
        m_client.cancel(it->id);
    }
    m_done = {};
}

void hedged_call::send_attempt() {
    auto options = m_options;
    // The connection of an earlier call may be as silent as that of the first attempt.
    options.idempotent = m_options.idempotent && m_attempts.empty();
    const auto added = std::make_shared<attempt>();
    added->sent = common::monotonic_clock::now();
    m_attempts.push_back(added);
    http::call_hooks hooks;
    hooks.on_head = [this, added](unsigned status, const http::headers& fields) {
        added->response.status = status;
        added->response.fields = fields;
        keep_only(added);
    };
    hooks.on_data = [added](std::string_view bytes) { added->response.body += bytes; };
    hooks.on_done = [this, added] { end(added, std::move(added->response)); };
    hooks.on_error = [this, added](const http::call_error& error) { end(added, error); };
    added->id = m_client.start(m_message, std::move(hooks), options);
    schedule_attempt();
}

void hedged_call::schedule_attempt() {
    if (m_interval) {
        m_timer.start(*m_interval, m_context.wrap([this] { send_attempt(); }));
    }
}

void hedged_call::keep_only(const std::shared_ptr<attempt>& answered) {
    m_timer.cancel();
    for (const auto& it : std::exchange(m_attempts, {answered})) {
        if (it != answered) {
            m_client.cancel(it->id);
        }
    }
}

void hedged_call::end(const std::shared_ptr<attempt>& ended, const http::call_result& result) {
    keep_only(ended);
    m_attempts.clear();
    // The hook may start the next call.
    const auto done = std::exchange(m_done, {});
    done(result, ended->sent);
}

} // namespace jujubemast::gateway::store
