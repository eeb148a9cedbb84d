#include "gateway/store/store_session.h"

#include <utility>

#include "http/call_failure.h"

namespace jujubemast::gateway::store {

namespace {

constexpr unsigned status_ok = 200;

http::client_limits session_limits() {
    http::client_limits limits;
    limits.connect_timeout = std::chrono::milliseconds{500};
    limits.max_response_bytes = std::size_t{64} * 1024;
    limits.max_idle_connections = 4;
    return limits;
}

} // namespace

store_session::store_session(const runtime::task_context& context, http::endpoint store,
                             std::shared_ptr<const adapter> platform_adapter)
    : m_adapter{std::move(platform_adapter)}, m_client{context, std::move(store),
                                                       session_limits()} {}

void store_session::read(const http::request& message, common::duration timeout, done_hook done) {
    send(message, timeout, m_adapter->decode_rows, std::move(done));
}

void store_session::write(const http::request& message, common::duration timeout, done_hook done) {
    const auto decode = [this](const http::response& response) {
        if (response.status != status_ok) {
            return m_adapter->decode_rows(response);
        }
        store_response result;
        result.outcome = store_outcome::done;
        result.era = m_adapter->decode_store_era(response);
        return result;
    };
    send(message, timeout, decode, std::move(done));
}

void store_session::send(const http::request& message, common::duration timeout, decode_hook decode,
                         done_hook done) {
    const auto sent = common::monotonic_clock::now();
    http::call_options options;
    options.head_timeout = timeout;
    options.total_timeout = timeout;
    m_client.send(
        message,
        [this, sent, decode = std::move(decode),
         done = std::move(done)](const http::call_result& result) {
            const auto* response = std::get_if<http::response>(&result);
            if (response == nullptr) {
                done({store_outcome::unavailable, {}, http::describe_failure(result)});
                return;
            }
            const auto decoded = decode(*response);
            if (!record(decoded, sent)) {
                done({store_outcome::unavailable, {}, "the response is older than a restore"});
                return;
            }
            done(decoded);
        },
        options);
}

bool store_session::record(const store_response& response, common::time_point sent) {
    if (response.era && *response.era < m_era) {
        return false;
    }
    m_era = response.era.value_or(m_era);
    if (response.content.now_ms) {
        m_clock = {*response.content.now_ms, sent};
    }
    return true;
}

std::int64_t store_session::store_time_ms(common::time_point now) const {
    if (!m_clock) {
        return 0;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_clock->at);
    return m_clock->store_ms + since.count();
}

} // namespace jujubemast::gateway::store
