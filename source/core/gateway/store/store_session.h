#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/adapter.h"
#include "http/client.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Single reads and writes of the store, with its era and its clock as the responses name them.
/// Belongs to one task. Each call ends with exactly one call of its hook, unless the session is
/// closed first.
class store_session {
public:
    using done_hook = std::function<void(const store_response&)>;

    store_session(const runtime::task_context& context, http::endpoint store,
                  std::shared_ptr<const adapter> platform_adapter);

    /// Returns the rows that the store has after the call began.
    void read(const http::request& message, common::duration timeout, done_hook done);

    /// The response has no rows. The store may perform a write without a response later.
    void write(const http::request& message, common::duration timeout, done_hook done);

    void close() noexcept { m_client.close(); }

    /// The latest era that a response has named. Zero before the first one.
    [[nodiscard]] std::uint64_t era() const { return m_era; }

    /// The store's clock in ms, or zero if no response has named it.
    [[nodiscard]] std::int64_t store_time_ms(common::time_point now) const;

private:
    using decode_hook = std::function<store_response(const http::response&)>;

    void send(const http::request& message, common::duration timeout, decode_hook decode,
              done_hook done);
    /// Records what the response says of the store. Returns false if the store made it before it
    /// was restored.
    bool record(const store_response& response, common::time_point sent);

    std::shared_ptr<const adapter> m_adapter;
    http::client m_client;
    std::uint64_t m_era = 0;
    /// A time of the store's clock, and one of this process at which the store's was not later.
    struct clock_reading {
        std::int64_t store_ms = 0;
        common::time_point at;
    };
    std::optional<clock_reading> m_clock;
};

} // namespace jujubemast::gateway::store
