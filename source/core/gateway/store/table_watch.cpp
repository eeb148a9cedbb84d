#include "gateway/store/table_watch.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "http/call_failure.h"

namespace jujubemast::gateway::store {

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
// Shortest wait of a long poll, so that short limits do not cause a tight loop of calls.
constexpr common::duration min_wait = std::chrono::milliseconds{300};
// Ratio of the time allowed for a response to the time that the last one took.
constexpr int response_time_reserve = 2;
// Gateways of different releases may never agree on the content of a row.
constexpr common::duration repair_interval = std::chrono::seconds{10};
// Stores return pages of about 1 MB. The response to a watch holds all rows that changed since its
// version and may be larger.
constexpr std::size_t max_page_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

table_watch_limits limits_for_staleness(common::duration limit, common::duration heartbeat) {
    table_watch_limits limits;
    limit = std::max<common::duration>(limit, min_staleness_limit);
    const auto unseen_limit = upstream_list::shortest_expiry(heartbeat);
    limits.wait = std::max(min_wait, std::min(limit - limits.response_timeout - next_call_time,
                                              unseen_limit - limits.batch_interval -
                                                  limits.kept_connection_timeout - next_call_time));
    limits.relayed_wait = limit / 5;
    limits.max_relayed_age = 2 * limits.relayed_wait;
    return limits;
}

table_watch::table_watch(const runtime::task_context& context, http::client& client,
                         std::shared_ptr<const adapter> platform_adapter, store_table table,
                         table_watch_hooks hooks, const table_watch_limits& limits)
    : m_context{context}, m_adapter{std::move(platform_adapter)}, m_table{table},
      m_hooks{std::move(hooks)}, m_limits{limits}, m_timer{context.loop()},
      m_read_timeout{std::min(limits.first_read_timeout, limits.response_timeout)},
      m_kept_connection_timeout{std::min(limits.kept_connection_timeout, limits.response_timeout)},
      m_call{context, client} {}

void table_watch::cancel() {
    m_timer.cancel();
    m_call.cancel();
}

void table_watch::refresh() {
    cancel();
    m_repeated = false;
    if (m_copy.is_complete()) {
        watch(common::duration::zero());
    } else {
        read_from({});
    }
}

common::duration table_watch::long_poll_wait() const {
    return m_source == watch_source::store_for_others ? m_limits.relayed_wait : m_limits.wait;
}

void table_watch::set_source(watch_source source) {
    if (std::exchange(m_source, source) == source) {
        return;
    }
    if (!m_sent && m_copy.is_complete()) {
        schedule_watch(m_limits.batch_interval);
    }
}

void table_watch::changes_relayed(const table_changes& changes, common::time_point confirmed) {
    record_available(confirmed);
    if (!m_copy.is_complete()) {
        return;
    }
    switch (m_copy.order_of(changes.since, changes.until)) {
    case change_order::older:
        return;
    case change_order::restored:
        // The store itself has to name its era.
        refresh();
        return;
    case change_order::gap:
        if (m_source == watch_source::others && !m_sent) {
            watch(common::duration::zero());
        }
        return;
    case change_order::next:
        if (!changes.rows.empty()) {
            m_hooks.on_update({changes.rows, false, true});
        }
        m_copy.advance(changes.until);
        break;
    case change_order::known:
        break;
    }
    if (m_copy.digest() != changes.digest) {
        read_again(changes);
        return;
    }
    m_copy.confirm(confirmed);
    if (m_hooks.on_confirmed) {
        m_hooks.on_confirmed(*m_copy.confirmed());
    }
    if (m_source == watch_source::others && !m_sent) {
        set_available(true);
        // Without a minimum, so that a source with an old copy does not delay the check.
        schedule_watch(common::duration::zero());
    }
}

void table_watch::read_again(const table_changes& expected) {
    // The copy stays unconfirmed by other gateways, so the store is asked for changes meanwhile.
    const auto now = common::monotonic_clock::now();
    if (now < m_next_repair) {
        return;
    }
    m_next_repair = now + repair_interval;
    m_log.warn("The copy of a table differs from that of another gateway; reading it again.",
               {{"table", std::string{common::to_name(m_table)}},
                {"version", std::to_string(expected.until.version)},
                {"rows", std::to_string(expected.rows.size())}});
    m_copy.invalidate();
    refresh();
}

store_response table_watch::decode(const http::call_result& result) const {
    if (std::holds_alternative<http::call_error>(result)) {
        return {store_outcome::unavailable, {}, http::describe_failure(result)};
    }
    return m_adapter->decode_rows(std::get<http::response>(result));
}

void table_watch::begin_era(std::uint64_t era, common::duration delay) {
    const bool is_first = m_era == 0 && !m_copy.is_complete();
    m_era = era;
    if (is_first) {
        return;
    }
    cancel();
    m_sent.reset();
    m_repeated = false;
    m_copy.invalidate();
    m_timer.start(delay, m_context.wrap([this] { read_from({}); }));
}

bool table_watch::is_current(const store_response& response) {
    if (!response.era || *response.era == m_era) {
        return true;
    }
    if (*response.era < m_era) {
        // The store made it before the restore.
        m_sent.reset();
        m_timer.start(m_limits.retry_delay, m_context.wrap([this] { resume(); }));
        return false;
    }
    if (m_hooks.on_era) {
        m_hooks.on_era(*response.era);
    }
    // A restart of the read has ended this call.
    return m_sent.has_value();
}

boost::json::value table_watch::dump() const {
    return boost::json::object{
        {"era", m_copy.position().era},        {"version", m_copy.position().version},
        {"source", common::to_name(m_source)}, {"available", m_available},
        {"call_age_ms", age_in_ms(m_sent)},    {"age_ms", age_in_ms(m_copy.confirmed())}};
}

void table_watch::send(const http::request& message, common::duration wait,
                       common::duration response_timeout,
                       std::function<void(const http::call_result&)> done) {
    http::call_options options;
    options.head_timeout = wait + response_timeout;
    options.total_timeout = wait + response_timeout + m_limits.body_timeout;
    options.max_body_bytes = max_page_bytes;
    m_sent = common::monotonic_clock::now();
    m_wait = wait;
    m_response_timeout = response_timeout;
    m_call.start(
        message, options, resend_interval(response_timeout),
        [this, done = std::move(done)](const http::call_result& result, common::time_point sent) {
            m_sent = sent;
            done(result);
        });
}

bool table_watch::relies_on_others() const {
    return m_source == watch_source::others && m_copy.is_complete();
}

std::optional<common::duration>
table_watch::resend_interval(common::duration response_timeout) const {
    // A call with a short timeout is soon followed by the next.
    const bool may_hang = response_timeout >= m_limits.response_timeout;
    const bool follows_lost_call = m_repeated || !m_available;
    return may_hang && follows_lost_call && !relies_on_others()
               ? std::optional{m_limits.kept_connection_timeout}
               : std::nullopt;
}

void table_watch::read_from(const std::string& key) {
    if (key.empty()) {
        m_page_rows.clear();
        m_first_page_version = 0;
    }
    send(m_adapter->encode_read(m_table, key), common::duration::zero(), m_read_timeout,
         [this](const http::call_result& result) { page_received(result); });
}

void table_watch::page_received(const http::call_result& result) {
    auto response = decode(result);
    if (response.outcome != store_outcome::done) {
        m_copy.invalidate();
        m_read_timeout = std::min(m_read_timeout * 3 / 2, m_limits.response_timeout);
        if (!repeat_lost_call(result)) {
            call_failed(response);
        }
        return;
    }
    m_read_timeout = m_limits.response_timeout;
    store_responded();
    if (!is_current(response)) {
        return;
    }
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
    m_copy.set_complete({m_era, m_first_page_version});
    m_hooks.on_update({std::exchange(m_page_rows, {}), true});
    confirm();
    if (m_source == watch_source::others) {
        schedule_watch(m_limits.batch_interval);
    } else {
        watch(long_poll_wait());
    }
}

void table_watch::watch(common::duration wait) {
    if (!m_available || m_repeated) {
        wait = common::duration::zero();
    }
    const auto since = m_copy.position();
    const bool may_be_silent = m_available && !m_repeated;
    send(m_adapter->encode_watch(m_table, since.version, wait), wait,
         may_be_silent ? m_kept_connection_timeout : m_limits.response_timeout,
         [this, since](const http::call_result& result) { changes_received(since, result); });
}

void table_watch::schedule_watch(common::duration min_delay) {
    if (m_source != watch_source::others) {
        m_timer.start(m_limits.batch_interval, m_context.wrap([this] { watch(long_poll_wait()); }));
        return;
    }
    const auto delay = m_copy.check_due(m_limits.max_relayed_age) - common::monotonic_clock::now();
    m_timer.start(std::max(min_delay, delay),
                  m_context.wrap([this] { watch(common::duration::zero()); }));
}

void table_watch::changes_received(const store_position& since, const http::call_result& result) {
    auto response = decode(result);
    if (response.outcome == store_outcome::history_lost) {
        store_responded();
        if (!is_current(response)) {
            return;
        }
        m_log.info("The store has lost the change history of a table; reading the whole table.",
                   {{"table", std::string{common::to_name(m_table)}},
                    {"version", std::to_string(since.version)}});
        m_copy.invalidate();
        // Waits before reading the table again, because the store may lose its history again before
        // the next watch.
        m_timer.start(m_limits.batch_interval, m_context.wrap([this] { read_from({}); }));
        return;
    }
    if (response.outcome != store_outcome::done) {
        if (!repeat_lost_call(result)) {
            call_failed(response);
        }
        return;
    }
    // Before the rows are applied, because what a removed row means depends on it.
    store_responded();
    if (!is_current(response)) {
        return;
    }
    const store_position until{m_era, response.content.version};
    // Another gateway may have passed on later changes meanwhile, which these rows must not revert.
    const auto order = m_copy.order_of(since, until);
    const bool is_next = order == change_order::next || since == m_copy.position();
    if (is_next && !response.content.rows.empty()) {
        m_hooks.on_update({std::move(response.content.rows), false});
    }
    if (order != change_order::older) {
        m_copy.advance(until);
        confirm();
    }
    m_sent.reset();
    schedule_watch(m_limits.batch_interval);
}

bool table_watch::repeat_lost_call(const http::call_result& result) {
    const auto* error = std::get_if<http::call_error>(&result);
    if (m_repeated || !m_available || error == nullptr ||
        error->kind != http::call_error_kind::timeout) {
        return false;
    }
    m_log.info(
        "A call to the store was lost; repeating it on a new connection.",
        {{"table", std::string{common::to_name(m_table)}}, {"waited_ms", age_in_ms(m_sent)}});
    m_sent.reset();
    m_repeated = true;
    // The client has closed the connection of the lost call and all idle ones.
    resume();
    return true;
}

void table_watch::store_responded() {
    const auto now = common::monotonic_clock::now();
    if (m_sent && m_wait == common::duration::zero()) {
        // A store that takes long is not called twice.
        m_kept_connection_timeout = std::clamp<common::duration>(
            response_time_reserve * (now - *m_sent), m_limits.kept_connection_timeout,
            std::max(m_limits.kept_connection_timeout, m_limits.response_timeout));
    }
    m_repeated = false;
    record_available(response_time());
    set_available(true);
}

void table_watch::record_available(common::time_point at) {
    const auto unseen = m_outage.record_available(at, common::monotonic_clock::now());
    if (unseen && m_hooks.on_available) {
        m_hooks.on_available(*unseen);
    }
}

void table_watch::call_failed(const store_response& response) {
    if (response.outcome == store_outcome::throttled) {
        record_available(response_time());
    } else if (m_outage.record_failure(m_sent.value_or(common::monotonic_clock::now())) &&
               m_hooks.on_unavailable) {
        m_hooks.on_unavailable();
    }
    m_repeated = false;
    if (response.era && *response.era > m_era && m_hooks.on_era) {
        m_hooks.on_era(*response.era);
        return;
    }
    if (m_available) {
        m_log.warn("Store does not answer.",
                   {{"table", std::string{common::to_name(m_table)}},
                    {"outcome", std::string{common::to_name(response.outcome)}},
                    {"waited_ms", age_in_ms(m_sent)},
                    {"copy_age_ms", age_in_ms(m_copy.confirmed())},
                    {"detail", response.detail}});
    }
    const auto waited = common::monotonic_clock::now() - m_sent.value_or(common::time_point{});
    m_sent.reset();
    set_available(false);
    const bool relayed = relies_on_others();
    if (waited >= m_response_timeout && !relayed) {
        resume();
        return;
    }
    // Those that rely on other gateways leave it to them to notice the recovery soon.
    const auto delay = relayed ? m_limits.max_relayed_age : m_limits.retry_delay;
    m_timer.start(delay, m_context.wrap([this] { resume(); }));
}

void table_watch::resume() {
    if (m_copy.is_complete()) {
        watch(long_poll_wait());
    } else {
        read_from({});
    }
}

common::time_point table_watch::response_time() const {
    // If this process was paused, the response may be old. The store holds a call no longer than
    // its wait time.
    const auto now = common::monotonic_clock::now();
    return std::min(now, m_sent.value_or(now) + m_wait);
}

void table_watch::confirm() {
    m_copy.confirm(response_time());
    m_sent.reset();
    if (m_hooks.on_confirmed) {
        m_hooks.on_confirmed(*m_copy.confirmed());
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
                                            {"copy_age_ms", age_in_ms(m_copy.confirmed())}});
    }
}

} // namespace jujubemast::gateway::store
