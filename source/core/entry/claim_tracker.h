#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "common/enum_names.h"
#include "common/random.h"
#include "common/time.h"
#include "entry/claim_decision.h"
#include "entry/messages.h"
#include "table_service/store.h"

namespace jujubemast::entry {

/// Limits for the idempotency claims of one entry.
struct claim_limits {
    /// Longest time that a caller waits for the store, once for its claim and once for its outcome.
    common::duration max_wait = std::chrono::milliseconds{300};
    /// Longest time that a write waits for other writes that can share its transaction.
    common::duration flush_delay = std::chrono::milliseconds{3};
    std::size_t max_group = 64;
    /// More than one, so that a transaction without a response does not delay the others.
    std::size_t max_groups_in_progress = 4;
    std::size_t max_claims = 8192;
    /// Interval between retries of a write or read while the store is unavailable.
    common::duration retry_interval = std::chrono::milliseconds{100};
    /// Outcomes and releases that the store has not accepted after this time are discarded.
    common::duration abandon_after = std::chrono::minutes{5};
    std::chrono::milliseconds lifetime = std::chrono::hours{24};
};

/// Purpose of a claim's pending write: to record the claim (`taking`), to record its outcome
/// (`settling`) or to delete its row (`releasing`). A claim that is `held` has no pending write.
enum class claim_phase { taking, held, settling, releasing };

/// Action: commit the transaction and report its status to `group_committed`.
struct commit_group {
    std::uint64_t group = 0;
    table_service::transaction transaction;
};

/// Action: read the row of a claim and report it to `row_received`.
struct read_claim {
    std::uint64_t id = 0;
    table_service::row_key target;
};

using claim_action =
    std::variant<commit_group, read_claim, claim_granted, claim_denied, claim_closed>;
using claim_actions = std::vector<claim_action>;

/// State machine of one entry's idempotency claims: receives events and returns the actions to
/// perform. Writes are grouped into transactions. If a transaction ends in a conflict or its
/// response is lost, the rows are read back, and the token of each claim shows whether its write
/// took effect. A conflict on one row therefore does not fail the other writes. Owns no socket and
/// reads no clock.
class claim_tracker {
public:
    claim_tracker(claim_limits limits, common::random_hook random);

    claim_actions request(const claim_request& message, common::time_point now,
                          std::int64_t wall_ms);
    claim_actions close(const close_claim& message, common::time_point now);
    claim_actions group_committed(std::uint64_t group, table_service::store_status status,
                                  common::time_point now);
    claim_actions row_received(std::uint64_t id, const table_service::rows_result& result,
                               common::time_point now, std::int64_t wall_ms);
    /// Performs what is due at this time: commits groups, ends waits that have timed out, and
    /// retries.
    claim_actions process_due(common::time_point now);

    /// Returns when `process_due` must be called next.
    [[nodiscard]] std::optional<common::time_point> next_due_time() const;

    [[nodiscard]] std::size_t size() const { return m_claims.size(); }
    [[nodiscard]] std::uint64_t groups() const { return m_groups_sent; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes_sent; }
    [[nodiscard]] std::uint64_t read_backs() const { return m_read_backs; }

private:
    /// Progress of a claim's pending write.
    enum class write_state { none, queued, in_group, reading, waiting_to_write, waiting_to_read };

    struct claim {
        std::string row_key;
        claim_record record;
        std::uint64_t version = 0;
        claim_phase phase = claim_phase::taking;
        write_state write = write_state::none;
        /// Whether a transaction with this claim was sent, in which case the row may exist.
        bool sent = false;
        /// Whether the coordinator has received the response to its current message.
        bool responded = false;
        common::time_point respond_by;
        common::time_point retry_at;
        common::time_point abandon_at;
        common::time_point due_at;
    };

    void enqueue(std::uint64_t id, claim& it, common::time_point now);
    void retry_later(std::uint64_t id, claim& it, write_state state, common::time_point now);
    void read_back(std::uint64_t id, claim& it, claim_actions& actions);
    void resolve_acquisition(std::uint64_t id, claim& it, const table_service::row& row,
                             common::time_point now, std::int64_t wall_ms, claim_actions& actions);
    void resolve_closing(std::uint64_t id, claim& it, const table_service::row& row,
                         common::time_point now, claim_actions& actions);
    void write_applied(std::uint64_t id, claim& it, common::time_point now, claim_actions& actions);
    void write_refused(std::uint64_t id, claim& it, common::time_point now, claim_actions& actions);
    void process_claim(std::uint64_t id, common::time_point now, claim_actions& actions);
    void wait_expired(std::uint64_t id, claim& it, claim_actions& actions);
    /// Abandons a claim that is not confirmed yet. If its row appears later, the row is deleted.
    void abandon(std::uint64_t id, claim& it);
    void flush(common::time_point now, claim_actions& actions);
    void add_write(const claim& it, table_service::transaction& transaction) const;
    void schedule(std::uint64_t id, claim& it);
    void erase(std::uint64_t id);

    claim_limits m_limits;
    common::random_hook m_random;
    std::unordered_map<std::uint64_t, claim> m_claims;
    std::unordered_map<std::string, std::uint64_t> m_id_by_row;
    std::deque<std::uint64_t> m_queue;
    common::time_point m_flush_at;
    std::map<std::uint64_t, std::vector<std::uint64_t>> m_groups;
    /// When each claim must be processed next.
    std::set<std::pair<common::time_point, std::uint64_t>> m_due_times;
    std::uint64_t m_groups_sent = 0;
    std::uint64_t m_writes_sent = 0;
    std::uint64_t m_read_backs = 0;
};

} // namespace jujubemast::entry

namespace jujubemast::common {

template <>
struct enum_names<entry::claim_phase> {
    static constexpr std::array<std::string_view, 4> table{"taking", "held", "settling",
                                                           "releasing"};
};

} // namespace jujubemast::common
