#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "gateway/adapter.h"
#include "http/client.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway {

/// What a table holds, or what has changed in it.
struct table_update {
    std::vector<store_row> rows;
    /// The rows are all that the table holds.
    bool complete = false;
};

struct table_watch_hooks {
    std::function<void(const table_update&)> on_update;
    /// Called when the store stops or begins again to answer.
    std::function<void(bool available)> on_state;
    /// Called when an answer has shown that the copy held here was the newest at a time. May be
    /// empty.
    std::function<void(common::time_point at)> on_confirmed;
};

struct table_watch_limits {
    /// How long the store keeps a call for changes waiting. A change that comes after the call was
    /// lost is seen only by the next one.
    common::duration wait = std::chrono::milliseconds{1500};
    /// How much later than that its answer may come.
    common::duration response_timeout = std::chrono::milliseconds{1200};
    /// How much later than its head may come the end of an answer that keeps coming. A large
    /// configuration takes seconds over a slow link.
    common::duration body_timeout = std::chrono::seconds{10};
    /// Pause before the next call for changes, so that one answer carries several and a store that
    /// does not wait is not called without end.
    common::duration batch_interval = std::chrono::milliseconds{150};
    /// Pause after a failed call.
    common::duration retry_delay = std::chrono::milliseconds{250};
};

/// Leaves time for the answer of a call and for the call that follows it.
inline constexpr std::chrono::milliseconds min_staleness_limit{2000};

/// Returns limits with which the store's changes are seen within this time, or within
/// `min_staleness_limit` if that is longer, although one call was lost.
table_watch_limits limits_for_staleness(common::duration limit);

/// Reads one table of the store and follows its changes by calls that wait for them. When history
/// is lost the table is read whole again. While the store does not answer, calls do not wait, so
/// that none that is lost hides its return. Belongs to one task.
class table_watch {
public:
    table_watch(const runtime::task_context& context, http::client& client,
                std::shared_ptr<const adapter> platform_adapter, store_table table,
                table_watch_hooks hooks, const table_watch_limits& limits = {});

    void begin() { read_from({}); }

    void cancel();

    [[nodiscard]] std::uint64_t version() const { return m_version; }

    [[nodiscard]] boost::json::value dump() const;

private:
    void send(const http::request& message, common::duration wait,
              std::function<void(const http::call_result&)> done);
    void read_from(const std::string& key);
    void page_received(const http::call_result& result);
    void watch();
    void changes_received(const http::call_result& result);
    /// Returns the decoded answer of a call to the store.
    [[nodiscard]] store_response decode(const http::call_result& result) const;
    void call_failed(const store_response& response);
    void resume();
    void set_available(bool available);
    /// An answer has shown that the copy was the newest when the store sent it.
    void confirm();

    runtime::task_context m_context;
    http::client& m_client;
    std::shared_ptr<const adapter> m_adapter;
    store_table m_table;
    table_watch_hooks m_hooks;
    table_watch_limits m_limits;
    runtime::timer m_timer;
    std::uint64_t m_version = 0;
    std::vector<store_row> m_page_rows;
    std::uint64_t m_first_page_version = 0;
    bool m_table_complete = false;
    bool m_available = true;
    /// When the call in progress was sent.
    std::optional<common::time_point> m_sent;
    /// How long the store keeps the call in progress waiting.
    common::duration m_wait = common::duration::zero();
    /// Nothing before the first whole reading.
    std::optional<common::time_point> m_confirmed;
    logging::logger m_log{"catalog"};
};

} // namespace jujubemast::gateway
