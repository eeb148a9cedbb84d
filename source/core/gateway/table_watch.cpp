#include "gateway/table_watch.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "http/call_failure.h"

namespace jujubemast::gateway {

namespace {

/// Returns the milliseconds since a time, or an empty string if there is none.
std::string age_in_ms(std::optional<common::time_point> since) {
    if (!since) {
        return {};
    }
    const auto age = common::monotonic_clock::now() - *since;
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

// Time for the call that follows a lost one.
constexpr common::duration next_call_time = std::chrono::milliseconds{300};
// Stores return pages of about 1 MB. The response to a watch holds all rows that changed since its
// version and may be larger.
constexpr std::size_t max_page_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

table_watch_limits limits_for_staleness(common::duration limit) {
    table_watch_limits limits;
    limit = std::max<common::duration>(limit, min_staleness_limit);
    limits.wait = limit - limits.response_timeout - next_call_time;
    return limits;
}

table_watch::table_watch(const runtime::task_context& context, http::client& client,
                         std::shared_ptr<const adapter> platform_adapter, store_table table,
                         table_watch_hooks hooks, const table_watch_limits& limits)
    : m_context{context}, m_client{client}, m_adapter{std::move(platform_adapter)}, m_table{table},
      m_hooks{std::move(hooks)}, m_limits{limits}, m_timer{context.loop()} {}

void table_watch::cancel() {
    m_timer.cancel();
}

void table_watch::refresh() {
    m_timer.cancel();
    m_client.cancel(m_call);
    if (m_table_complete) {
        watch(common::duration::zero());
    } else {
        read_from({});
    }
}

store_response table_watch::decode(const http::call_result& result) const {
    if (std::holds_alternative<http::call_error>(result)) {
        return {store_outcome::unavailable, {}, http::describe_failure(result)};
    }
    return m_adapter->decode_rows(std::get<http::response>(result));
}

boost::json::value table_watch::dump() const {
    return boost::json::object{{"version", m_version},
                               {"available", m_available},
                               {"call_age_ms", age_in_ms(m_sent)},
                               {"age_ms", age_in_ms(m_confirmed)}};
}

void table_watch::send(const http::request& message, common::duration wait,
                       std::function<void(const http::call_result&)> done) {
    http::call_options options;
    options.head_timeout = wait + m_limits.response_timeout;
    options.total_timeout = wait + m_limits.response_timeout + m_limits.body_timeout;
    options.max_body_bytes = max_page_bytes;
    m_sent = common::monotonic_clock::now();
    m_wait = wait;
    m_call = m_client.send(message, std::move(done), options);
}

void table_watch::read_from(const std::string& key) {
    if (key.empty()) {
        m_page_rows.clear();
        m_first_page_version = 0;
    }
    send(m_adapter->encode_read(m_table, key), common::duration::zero(),
         [this](const http::call_result& result) { page_received(result); });
}

void table_watch::page_received(const http::call_result& result) {
    auto response = decode(result);
    if (response.outcome != store_outcome::done) {
        m_table_complete = false;
        call_failed(response);
        return;
    }
    set_available(true);
    if (m_page_rows.empty()) {
        // Changes between two pages are not missed, because the watch continues after the version
        // of the first page.
        m_first_page_version = response.content.version;
    }
    for (auto& it : response.content.rows) {
        m_page_rows.push_back(std::move(it));
    }
    if (response.content.has_more && !m_page_rows.empty()) {
        // The next page starts at the smallest key after the last one.
        read_from(m_page_rows.back().key + '\x01');
        return;
    }
    m_version = m_first_page_version;
    m_table_complete = true;
    m_hooks.on_update({std::exchange(m_page_rows, {}), true});
    confirm();
    watch(m_limits.wait);
}

void table_watch::watch(common::duration wait) {
    if (!m_available) {
        wait = common::duration::zero();
    }
    send(m_adapter->encode_watch(m_table, m_version, wait), wait,
         [this](const http::call_result& result) { changes_received(result); });
}

void table_watch::changes_received(const http::call_result& result) {
    auto response = decode(result);
    if (response.outcome == store_outcome::history_lost) {
        m_log.info("The store has lost the change history of a table; reading the whole table.",
                   {{"table", std::string{common::to_name(m_table)}},
                    {"version", std::to_string(m_version)}});
        m_table_complete = false;
        // Waits before reading the table again, because the store may lose its history again before
        // the next watch.
        m_timer.start(m_limits.batch_interval, m_context.wrap([this] { read_from({}); }));
        return;
    }
    if (response.outcome != store_outcome::done) {
        call_failed(response);
        return;
    }
    set_available(true);
    m_version = std::max(m_version, response.content.version);
    if (!response.content.rows.empty()) {
        m_hooks.on_update({std::move(response.content.rows), false});
    }
    confirm();
    m_timer.start(m_limits.batch_interval, m_context.wrap([this] { watch(m_limits.wait); }));
}

void table_watch::call_failed(const store_response& response) {
    if (m_available) {
        m_log.warn("Store does not answer.",
                   {{"table", std::string{common::to_name(m_table)}},
                    {"outcome", std::string{common::to_name(response.outcome)}},
                    {"waited_ms", age_in_ms(m_sent)},
                    {"copy_age_ms", age_in_ms(m_confirmed)},
                    {"detail", response.detail}});
    }
    const auto waited = common::monotonic_clock::now() - m_sent.value_or(common::time_point{});
    m_sent.reset();
    set_available(false);
    if (waited >= m_limits.response_timeout) {
        resume();
        return;
    }
    m_timer.start(m_limits.retry_delay, m_context.wrap([this] { resume(); }));
}

void table_watch::resume() {
    if (m_table_complete) {
        watch(m_limits.wait);
    } else {
        read_from({});
    }
}

void table_watch::confirm() {
    // If this process was paused, the response may be old. The store holds a call no longer than
    // its wait time, so the copy is known to be the newest only up to the send time plus that wait.
    const auto now = common::monotonic_clock::now();
    m_confirmed = std::min(now, m_sent.value_or(now) + m_wait);
    m_sent.reset();
    if (m_hooks.on_confirmed) {
        m_hooks.on_confirmed(*m_confirmed);
    }
}

void table_watch::set_available(bool available) {
    if (available == m_available) {
        return;
    }
    m_available = available;
    if (available) {
        m_log.info("Store answers again.", {{"table", std::string{common::to_name(m_table)}},
                                            {"waited_ms", age_in_ms(m_sent)},
                                            {"copy_age_ms", age_in_ms(m_confirmed)}});
    }
    m_hooks.on_state(available);
}

} // namespace jujubemast::gateway
