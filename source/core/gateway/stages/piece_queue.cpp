#include "gateway/stages/piece_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace jujubemast::gateway::stages {

namespace {

// Time over which the rate of orders is averaged.
constexpr std::chrono::duration<double> order_rate_window{2};
// Smaller rates, in pieces per second, are not reported.
constexpr double min_order_rate = 0.5;

} // namespace

void piece_queue::push(const piece_order& order, std::uint32_t piece) {
    m_waiting.insert({order.priority,
                      order.target_time,
                      {order.key, piece},
                      order.deadline,
                      order.result_bytes});
}

void piece_queue::remove(const order_key& order) {
    std::erase_if(m_waiting, [&](const waiting& it) { return it.piece.order == order; });
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
            it = m_waiting.erase(it);
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
            m_waiting.erase(it, after);
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

std::vector<waiting_pieces> piece_queue::backlog(common::time_point now) const {
    std::map<std::pair<int, std::size_t>, waiting_pieces> kinds;
    for (const auto& [kind, counted] : m_ordered) {
        const double per_s = counted.at(now) / order_rate_window.count();
        if (per_s >= min_order_rate) {
            kinds[kind].ordered_per_s = per_s;
        }
    }
    for (const auto& it : m_waiting) {
        ++kinds[{it.priority, slack_range(it.target_time - now)}].pieces;
    }
    std::vector<waiting_pieces> result;
    result.reserve(kinds.size());
    for (auto& [kind, it] : kinds) {
        std::tie(it.priority, it.range) = kind;
        result.push_back(it);
    }
    return result;
}

std::set<order_key> piece_queue::waiting_orders() const {
    std::set<order_key> result;
    for (const auto& it : m_waiting) {
        result.insert(it.piece.order);
    }
    return result;
}

} // namespace jujubemast::gateway::stages
