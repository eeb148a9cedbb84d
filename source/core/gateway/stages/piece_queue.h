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
/// come last within their priority.
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
    /// are ordered.
    [[nodiscard]] std::vector<waiting_pieces> backlog(common::time_point now) const;

    /// Returns the order that is served first, if pieces wait.
    [[nodiscard]] std::optional<order_key> first() const;

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

    /// Keys of the orders with waiting pieces.
    [[nodiscard]] std::set<order_key> waiting_orders() const;

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

    /// Number of pieces ordered lately, of which older ones count less.
    struct order_count {
        double pieces = 0;
        common::time_point updated;

        [[nodiscard]] double at(common::time_point now) const;
    };

    /// The first piece after those of the same order.
    [[nodiscard]] position end_of_order(position it) const;

    std::set<waiting> m_waiting;
    /// By priority and range of slack.
    std::map<std::pair<int, std::size_t>, order_count> m_ordered;
};

} // namespace jujubemast::gateway::stages
