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
                                            const admission_hook& may_take,
                                            std::vector<order_key>& expired) {
    const auto end = now + call_time;
    std::vector<queued_piece> taken;
    std::vector<waiting> late;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && taken.size() < most;) {
        if (it->latest < end) {
            expired.push_back(it->piece.order);
            it = m_waiting.erase(it);
        } else if (!may_take(it->piece.order)) {
            ++it;
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

std::map<int, std::size_t> piece_queue::by_priority() const {
    std::map<int, std::size_t> counts;
    for (const auto& it : m_waiting) {
        ++counts[it.priority];
    }
    return counts;
}

common::duration call_time(const piece_limits& limits, std::size_t pieces) {
    return limits.call_time + limits.piece_time * static_cast<std::int64_t>(pieces);
}

common::duration expected_delay(const piece_limits& limits, const service_backlog& backlog,
                                int priority, std::size_t pieces) {
    std::size_t ahead = 0;
    for (const auto& [other, count] : backlog.waiting) {
        ahead += other <= priority ? count : 0;
    }
    const auto per_round =
        std::max<std::size_t>(1, limits.batch * limits.slots * backlog.instances);
    const double rounds = static_cast<double>(ahead) / static_cast<double>(per_round);
    const auto own = call_time(limits, std::min(pieces, limits.batch));
    const auto full = call_time(limits, limits.batch);
    const double busy_share = static_cast<double>(backlog.busy) /
                              static_cast<double>(std::max<std::size_t>(1, backlog.instances));
    return own + std::chrono::duration_cast<common::duration>(full * (rounds + 0.5 * busy_share));
}

} // namespace jujubemast::gateway
