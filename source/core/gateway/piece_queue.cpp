#include "gateway/piece_queue.h"

#include <algorithm>

namespace jujubemast::gateway {

void piece_queue::push(const piece_order& order, std::uint32_t piece) {
    m_waiting.insert({order.priority, order.target_time, {order.key, piece}, order.deadline});
}

void piece_queue::remove(const order_key& order) {
    std::erase_if(m_waiting, [&](const waiting& it) { return it.piece.order == order; });
}

std::vector<queued_piece> piece_queue::take(std::size_t max_count, common::time_point now,
                                            common::duration call_time,
                                            const admission_hook& may_take,
                                            std::vector<order_key>& expired) {
    const auto end = now + call_time;
    std::vector<queued_piece> taken;
    // The first pieces of orders that can no longer meet their target time.
    std::vector<position> late;
    // Keeps the pieces of one order in one call where they fit, because a result occupies memory
    // until the other results of its order are complete.
    const auto take_order = [&](position first) {
        const auto end_of_pieces = end_of_order(first);
        const auto count = static_cast<std::size_t>(std::distance(first, end_of_pieces));
        if (count > max_count - taken.size() && !taken.empty()) {
            return;
        }
        for (auto it = first; it != end_of_pieces && taken.size() < max_count;
             it = m_waiting.erase(it)) {
            taken.push_back(it->piece);
        }
    };
    const auto take_late = [&] {
        for (const auto& it : late) {
            if (taken.size() < max_count) {
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
        if (taken.size() >= max_count) {
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

std::map<int, std::size_t> piece_queue::by_priority() const {
    std::map<int, std::size_t> counts;
    for (const auto& it : m_waiting) {
        ++counts[it.priority];
    }
    return counts;
}

piece_limits sustained_limits(const piece_limits& limits, double result_bytes) {
    auto result = limits;
    if (result_bytes > 0 && limits.result_memory_bytes > 0) {
        const double fitting = limits.result_memory_bytes / result_bytes / 2;
        result.batch =
            static_cast<std::size_t>(std::clamp(fitting, 1.0, static_cast<double>(limits.batch)));
    }
    return result;
}

common::duration call_time(const piece_limits& limits, std::size_t pieces) {
    return limits.call_time + limits.piece_time * static_cast<std::int64_t>(pieces);
}

common::duration expected_delay(const piece_limits& limits, const service_backlog& backlog,
                                int priority, std::size_t pieces, common::duration start) {
    std::size_t ahead = 0;
    for (const auto& [other, count] : backlog.waiting) {
        ahead += other <= priority ? count : 0;
    }
    const double per_round =
        std::max(1.0, backlog.goodput *
                          static_cast<double>(limits.batch * limits.slots * backlog.instances));
    const auto own = call_time(limits, std::min(pieces, limits.batch));
    const auto full = call_time(limits, limits.batch);
    const double rounds_meanwhile =
        std::chrono::duration<double>(start) / std::chrono::duration<double>(full);
    const double rounds = std::max(0.0, static_cast<double>(ahead) / per_round - rounds_meanwhile);
    const double busy_share = static_cast<double>(backlog.busy) /
                              static_cast<double>(std::max<std::size_t>(1, backlog.instances));
    return own + std::chrono::duration_cast<common::duration>(full * (rounds + 0.5 * busy_share));
}

} // namespace jujubemast::gateway
