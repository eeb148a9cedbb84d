#include "gateway/piece_queue.h"

#include <algorithm>

namespace jujubemast::gateway {

void piece_queue::push(const piece_order& order, std::uint32_t piece) {
    m_waiting.insert({order.priority, order.target, {order.key, piece}, order.latest});
}

void piece_queue::remove(const order_key& order) {
    std::erase_if(m_waiting, [&](const waiting& it) { return it.piece.order == order; });
}

std::vector<queued_piece> piece_queue::take(std::size_t most, common::time_point now,
                                            common::duration call_time,
                                            std::vector<order_key>& expired) {
    const auto end = now + call_time;
    std::vector<queued_piece> taken;
    std::vector<waiting> late;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && taken.size() < most;) {
        if (it->latest < end) {
            expired.push_back(it->piece.order);
            it = m_waiting.erase(it);
        } else if (it->target < end) {
            late.push_back(*it);
            ++it;
        } else {
            taken.push_back(it->piece);
            it = m_waiting.erase(it);
        }
    }
    for (const auto& it : late) {
        if (taken.size() >= most) {
            break;
        }
        taken.push_back(it.piece);
        m_waiting.erase(it);
    }
    return taken;
}

std::size_t piece_queue::ahead(const piece_order& order) const {
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const waiting& it) {
            return std::tie(it.priority, it.target) <= std::tie(order.priority, order.target);
        }));
}

common::duration call_time(const piece_limits& limits, std::size_t pieces) {
    return limits.call_time + limits.piece_time * static_cast<std::int64_t>(pieces);
}

common::duration expected_delay(const piece_limits& limits, std::size_t pieces_ahead,
                                std::size_t instances) {
    const auto full_call = call_time(limits, limits.batch);
    const auto per_round = std::max<std::size_t>(1, limits.batch * limits.slots * instances);
    const auto rounds = static_cast<double>(pieces_ahead) / static_cast<double>(per_round);
    // On average half a call passes before an instance is free.
    return std::chrono::duration_cast<common::duration>(full_call * (rounds + 1.5));
}

} // namespace jujubemast::gateway
