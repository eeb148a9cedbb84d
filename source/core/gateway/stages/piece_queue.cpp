#include "gateway/stages/piece_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace jujubemast::gateway::stages {

namespace {

// Time over which the rate of orders is averaged.
constexpr std::chrono::duration<double> order_rate_window{2};
// The slack of the waiting pieces is determined again after this time. Much shorter than the ranges
// of slack.
constexpr common::duration max_count_age = std::chrono::milliseconds{10};
// Smaller rates, in pieces per second, are not reported.
constexpr double min_order_rate = 0.5;

} // namespace

void piece_queue::push(const piece_order& order, std::uint32_t piece) {
    const auto [it, is_new] = m_waiting.insert({order.priority,
                                                order.target_time,
                                                {order.key, piece},
                                                order.deadline,
                                                order.result_bytes});
    if (!is_new) {
        return;
    }
    ++m_counts[counted_kind(*it)];
    auto& position = m_orders[order.key];
    position.priority = order.priority;
    position.target_time = order.target_time;
    ++position.pieces;
    if (order.regions.is_restricted()) {
        m_restricted_orders.insert(order.key);
    }
}

void piece_queue::remove(const order_key& order) {
    const auto known = m_orders.find(order);
    if (known == m_orders.end()) {
        return;
    }
    // The pieces of an order stand side by side.
    auto it = m_waiting.lower_bound(
        {known->second.priority, known->second.target_time, {order, 0}, {}, 0});
    for (auto n = known->second.pieces; n > 0; --n) {
        it = erase(it);
    }
}

piece_queue::position piece_queue::erase(position it) {
    --m_counts[counted_kind(*it)];
    const auto known = m_orders.find(it->piece.order);
    if (--known->second.pieces == 0) {
        m_restricted_orders.erase(known->first);
        m_orders.erase(known);
    }
    return m_waiting.erase(it);
}

std::vector<queued_piece> piece_queue::take(call_room& room, common::time_point now,
                                            common::duration call_time,
                                            const admission_hook& may_take,
                                            std::vector<order_key>& expired,
                                            const call_fill_hook& fill) {
    const auto end = now + call_time;
    std::vector<queued_piece> taken;
    // The first pieces of orders that can no longer meet their target time.
    std::vector<position> late;
    const auto take_order = [&](position first) {
        const auto waiting_pieces =
            static_cast<std::size_t>(std::distance(first, end_of_order(first)));
        auto it = first;
        for (auto n = fill(room, {waiting_pieces, first->result_bytes}); n > 0; --n) {
            taken.push_back(it->piece);
            it = erase(it);
        }
    };
    const auto take_late = [&] {
        for (const auto& it : late) {
            if (room.pieces > 0) {
                take_order(it);
            }
        }
        late.clear();
    };
    std::optional<int> priority;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->priority != priority) {
            take_late();
            priority = it->priority;
        }
        if (room.pieces == 0) {
            break;
        }
        const auto after = end_of_order(it);
        if (it->deadline < end) {
            expired.push_back(it->piece.order);
            while (it != after) {
                it = erase(it);
            }
        } else if (may_take(it->piece.order)) {
            if (it->target_time < end) {
                late.push_back(it);
            } else {
                take_order(it);
            }
        }
        it = after;
    }
    take_late();
    return taken;
}

piece_queue::position piece_queue::end_of_order(position it) const {
    const auto& order = it->piece.order;
    return std::find_if(it, m_waiting.end(),
                        [&](const waiting& other) { return other.piece.order != order; });
}

std::optional<order_key> piece_queue::first() const {
    return m_waiting.empty() ? std::nullopt : std::optional{m_waiting.begin()->piece.order};
}

double piece_queue::order_count::at(common::time_point now) const {
    return pieces * std::exp(-std::chrono::duration<double>(now - updated) / order_rate_window);
}

void piece_queue::record_order(const piece_order& order, common::time_point now) {
    auto& counted = m_ordered[{order.priority, slack_range(order.target_time - now)}];
    counted = {counted.at(now) + order.count, now};
}

piece_queue::kind piece_queue::counted_kind(const waiting& piece) const {
    return {piece.priority, slack_range(piece.target_time - m_counted_at)};
}

void piece_queue::count_pieces(common::time_point now) {
    m_counted_at = now;
    m_counts.clear();
    for (const auto& it : m_waiting) {
        ++m_counts[counted_kind(it)];
    }
}

std::vector<waiting_pieces> piece_queue::backlog(common::time_point now) {
    if (now < m_counted_at || now > m_counted_at + max_count_age) {
        count_pieces(now);
    }
    std::map<kind, waiting_pieces> kinds;
    for (const auto& [of, counted] : m_ordered) {
        const double per_s = counted.at(now) / order_rate_window.count();
        if (per_s >= min_order_rate) {
            kinds[of].ordered_per_s = per_s;
        }
    }
    for (const auto& [of, count] : m_counts) {
        if (count > 0) {
            kinds[of].pieces = count;
        }
    }
    std::vector<waiting_pieces> result;
    result.reserve(kinds.size());
    for (auto& [of, it] : kinds) {
        std::tie(it.priority, it.range) = of;
        result.push_back(it);
    }
    return result;
}

std::vector<order_key> piece_queue::waiting_orders() const {
    std::vector<order_key> result;
    result.reserve(m_orders.size());
    for (const auto& [key, position] : m_orders) {
        result.push_back(key);
    }
    return result;
}

} // namespace jujubemast::gateway::stages
