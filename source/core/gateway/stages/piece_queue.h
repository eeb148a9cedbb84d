#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "gateway/caller_request.h"
#include "gateway/piece_order.h"
#include "gateway/service_backlog.h"
#include "gateway/stages/call_fill.h"

namespace jujubemast::gateway::stages {

/// A piece of an order that waits for a call or is part of one.
struct queued_piece {
    order_key order;
    std::uint32_t piece = 0;

    friend auto operator<=>(const queued_piece&, const queued_piece&) = default;
};

/// The pieces of one service that wait for a call. More urgent priorities are served first and,
/// within a priority, the earliest target time. Pieces that can no longer meet their target time
/// come last within their priority. Thousands of pieces may wait, so the cost of adding or removing
/// an order does not depend on their number.
class piece_queue {
public:
    void push(const piece_order& order, std::uint32_t piece);

    /// Counts the pieces of a new order for the rates at which pieces are ordered.
    void record_order(const piece_order& order, common::time_point now);

    /// Removes the waiting pieces of an order.
    void remove(const order_key& order);

    /// Whether a call may take pieces of this order now.
    using admission_hook = std::function<bool(const order_key& order)>;

    /// Takes pieces that fit into the room of a call that lasts at least `call_time`. Orders whose
    /// deadline such a call would miss are removed and appended to `expired`.
    std::vector<queued_piece> take(call_room& room, common::time_point now,
                                   common::duration call_time, const admission_hook& may_take,
                                   std::vector<order_key>& expired,
                                   const call_fill_hook& fill = fill_with_fitting);

    /// Numbers of waiting pieces by priority and range of slack, and the rates at which such pieces
    /// are ordered. The slack of pieces that were counted lately is that of their last count.
    [[nodiscard]] std::vector<waiting_pieces> backlog(common::time_point now);

    /// Returns the order that is served first, if pieces wait.
    [[nodiscard]] std::optional<order_key> first() const;

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

    /// Keys of the orders with waiting pieces.
    [[nodiscard]] std::vector<order_key> waiting_orders() const;

    /// Those of the orders with waiting pieces that are limited to some regions.
    [[nodiscard]] const std::set<order_key>& restricted_orders() const {
        return m_restricted_orders;
    }

private:
    struct waiting {
        int priority = 0;
        common::time_point target_time;
        queued_piece piece;
        common::time_point deadline;
        double result_bytes = 0;

        friend bool operator<(const waiting& a, const waiting& b) {
            return std::tie(a.priority, a.target_time, a.piece) <
                   std::tie(b.priority, b.target_time, b.piece);
        }
    };

    using position = std::set<waiting>::iterator;
    /// Priority and range of slack.
    using kind = std::pair<int, std::size_t>;

    /// Number of pieces ordered lately, of which older ones count less.
    struct order_count {
        double pieces = 0;
        common::time_point updated;

        [[nodiscard]] double at(common::time_point now) const;
    };

    /// The first piece after those of the same order.
    [[nodiscard]] position end_of_order(position it) const;

    /// Where the waiting pieces of an order stand in the queue.
    struct order_position {
        int priority = 0;
        common::time_point target_time;
        std::size_t pieces = 0;
    };

    /// Removes a piece and returns the position after it.
    position erase(position it);
    /// The kind of a piece at the last count.
    [[nodiscard]] kind counted_kind(const waiting& piece) const;
    void count_pieces(common::time_point now);

    std::set<waiting> m_waiting;
    std::map<order_key, order_position> m_orders;
    std::set<order_key> m_restricted_orders;
    std::map<kind, order_count> m_ordered;
    /// The waiting pieces of each kind, which pieces that come and go keep up to date.
    std::map<kind, std::size_t> m_counts;
    common::time_point m_counted_at;
};

} // namespace jujubemast::gateway::stages
