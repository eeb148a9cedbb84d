#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "common/enum_names.h"
#include "gateway/adapter.h"
#include "gateway/store/hedged_call.h"
#include "gateway/store/outage_detector.h"
#include "gateway/store/table_copy.h"
#include "http/client.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// The whole content of a table, or its changes.
struct table_update {
    std::vector<store_row> rows;
    /// Whether the rows are the whole content of the table.
    bool complete = false;
    /// Whether another gateway has passed the rows on.
    bool relayed = false;
};

struct table_watch_hooks {
    std::function<void(const table_update&)> on_update;
    /// Called when the store is found to be unavailable. May be empty.
    std::function<void()> on_unavailable;
    /// Called when it is found to be available again, before the rows that show this are applied,
    /// with the time for which it had shown no sign of being available. May be empty.
    std::function<void(common::duration unseen)> on_available;
    /// Called when a response, or another gateway, shows that the local copy was the newest at a
    /// time. May be empty.
    std::function<void(common::time_point at)> on_confirmed;
    /// Called when a response names a later era of the store than the one that is known. Has to
    /// call `begin_era`. May be empty.
    std::function<void(std::uint64_t era)> on_era;
};

struct table_watch_limits {
    /// How long the store holds a long poll for changes. After a lost poll only the next one shows
    /// the changes, so a longer time delays them further.
    common::duration wait = std::chrono::milliseconds{1500};
    /// Additional time for the start of the response.
    common::duration response_timeout = std::chrono::milliseconds{1200};
    /// The same for a call that may use an earlier connection, which may have gone silent. The call
    /// is then sent once more on a new connection. Grows up to `response_timeout` with the time
    /// that the store takes. Also the interval at which a call is sent again that follows a lost
    /// one; this interval does not grow.
    common::duration kept_connection_timeout = std::chrono::milliseconds{300};
    /// Time for the start of the response to the first read of a table. A call may hang in a silent
    /// store, and until the table is read the gateway can serve nothing. Grows by half with each
    /// lost read, up to `response_timeout`, because a slow store needs more.
    common::duration first_read_timeout = std::chrono::milliseconds{200};
    /// Additional time for the rest of a response that is still arriving. A large configuration
    /// takes seconds over a slow link.
    common::duration body_timeout = std::chrono::seconds{10};
    /// Delay before the next poll, so that one response carries several changes and a store that
    /// responds at once is not called in a tight loop.
    common::duration batch_interval = std::chrono::milliseconds{300};
    /// Delay after a failed call.
    common::duration retry_delay = std::chrono::milliseconds{250};
    /// How long the store holds a long poll of a gateway that others rely on. Each response
    /// confirms their copies.
    common::duration relayed_wait = std::chrono::milliseconds{600};
    /// A copy that other gateways keep up to date is checked with the store when it was not
    /// confirmed for this long.
    common::duration max_relayed_age = std::chrono::milliseconds{1200};
};

/// Where a watch gets the changes from.
enum class watch_source {
    /// Long polls of the store.
    store,
    /// Frequent long polls of the store, because other gateways rely on their responses.
    store_for_others,
    /// Other gateways pass the changes on.
    others
};

/// Leaves time for the response to a call and for the call that follows it.
inline constexpr std::chrono::milliseconds min_staleness_limit{2000};

/// Returns limits with which changes in the store are seen within `limit` even if one call is lost.
/// Values below `min_staleness_limit` are raised to it. A long poll is so short that the entry of
/// an upstream that renews it once in `heartbeat` cannot expire in an outage that one lost call
/// hides.
table_watch_limits limits_for_staleness(common::duration limit, common::duration heartbeat);

/// Reads one table of the store and follows its changes, by long polls or as another gateway passes
/// them on. In the latter case it asks the store itself when changes are missing or nothing has
/// been heard for a short time. If the store has lost the change history, the whole table is read
/// again, and also after a restore, which begins a new era of the store: it gives out versions
/// again, so changes after a known version say nothing. A call without a response may only show
/// that its connection has gone silent, so it is sent once more on a new connection before the
/// store counts as unavailable. From the first lost call on, calls do not wait for changes and are
/// sent again while they get no response, so that the store is seen to respond as soon as it does:
/// how long the entry of an upstream is kept that may have expired counts from then. A watch that
/// relies on other gateways leaves this to them. Belongs to one task.
class table_watch {
public:
    table_watch(const runtime::task_context& context, http::client& client,
                std::shared_ptr<const adapter> platform_adapter, store_table table,
                table_watch_hooks hooks, const table_watch_limits& limits = {});

    void begin() { read_from({}); }

    /// Ends the call in progress, and makes no more.
    void cancel();

    /// Asks the store for changes at once, in place of the call in progress, whose response may be
    /// old.
    void refresh();

    void set_source(watch_source source);

    /// The store has begun an era. If the table has been read in an earlier one, or a read is in
    /// progress, the whole table is read after a delay.
    void begin_era(std::uint64_t era, common::duration delay);

    /// Applies changes from another gateway, whose copy the store has confirmed at a time.
    void changes_relayed(const table_changes& changes, common::time_point confirmed);

    /// The copy that the watch keeps. The receiver of the updates sets the digests of its rows.
    [[nodiscard]] table_copy& copy() { return m_copy; }

    /// Whether the last call to the store succeeded, or another gateway has confirmed the copy
    /// since then.
    [[nodiscard]] bool is_available() const { return m_available; }

    [[nodiscard]] boost::json::value dump() const;

private:
    /// Sends a call that the store holds for `wait` before its response begins within
    /// `response_timeout`, in place of the call in progress.
    void send(const http::request& message, common::duration wait,
              common::duration response_timeout,
              std::function<void(const http::call_result&)> done);
    void read_from(const std::string& key);
    void page_received(const http::call_result& result);
    void watch(common::duration wait);
    /// How long the store holds a long poll.
    [[nodiscard]] common::duration long_poll_wait() const;
    /// Whether others keep the copy up to date. They pass on changes only, so a copy that is not
    /// complete has to be read.
    [[nodiscard]] bool relies_on_others() const;
    /// After which time a call is sent again. Nothing if it is sent once.
    [[nodiscard]] std::optional<common::duration>
    resend_interval(common::duration response_timeout) const;
    void changes_received(const store_position& since, const http::call_result& result);
    /// Waits before the next watch, or until a relayed copy has to be checked, but at least for
    /// this time.
    void schedule_watch(common::duration min_delay);
    /// Whether a response belongs to the current era. If not, another call follows.
    bool is_current(const store_response& response);
    /// Decodes the result of a call to the store.
    [[nodiscard]] store_response decode(const http::call_result& result) const;
    /// Repeats a call that was lost, perhaps with its connection. Returns whether it has done so.
    bool repeat_lost_call(const http::call_result& result);
    void call_failed(const store_response& response);
    void resume();
    /// The store has answered the call in progress.
    void store_responded();
    /// The store was available at a time, according to its response or to another gateway.
    void record_available(common::time_point at);
    void set_available(bool available);
    /// When the store sent the response that has arrived, at the latest.
    [[nodiscard]] common::time_point response_time() const;
    /// Records that the copy was the newest when the store sent its response.
    void confirm();
    /// Reads the whole table again, because the copy differs from that of another gateway.
    void read_again(const table_changes& expected);

    runtime::task_context m_context;
    std::shared_ptr<const adapter> m_adapter;
    store_table m_table;
    table_watch_hooks m_hooks;
    table_watch_limits m_limits;
    runtime::timer m_timer;
    table_copy m_copy;
    watch_source m_source = watch_source::store;
    /// The latest known era of the store.
    std::uint64_t m_era = 0;
    std::vector<store_row> m_page_rows;
    std::uint64_t m_first_page_version = 0;
    /// Time for the start of the response to a read of the table.
    common::duration m_read_timeout;
    bool m_available = true;
    outage_detector m_outage;
    /// Whether the call in progress repeats one that was lost.
    bool m_repeated = false;
    /// Time for the start of the response to a call that may use an earlier connection.
    common::duration m_kept_connection_timeout;
    /// Until then a copy that differs again is not read again.
    common::time_point m_next_repair;
    hedged_call m_call;
    /// When the call in progress was sent, or the attempt that has ended it.
    std::optional<common::time_point> m_sent;
    /// Time for the start of the response to the call in progress, after the wait.
    common::duration m_response_timeout = common::duration::zero();
    /// How long the store holds the call in progress.
    common::duration m_wait = common::duration::zero();
    logging::logger m_log{"catalog"};
};

} // namespace jujubemast::gateway::store

namespace jujubemast::common {

template <>
struct enum_names<gateway::store::watch_source> {
    static constexpr std::array<std::string_view, 3> table{"store", "store_for_others", "others"};
};

} // namespace jujubemast::common
