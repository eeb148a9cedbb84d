#include "http/waiting_connections.h"

#include <utility>

namespace jujubemast::http {

waiting_connections::id waiting_connections::add(runtime::address<reply_command> connection) {
    m_waiting.emplace(m_next_id, std::move(connection));
    return m_next_id++;
}

std::optional<runtime::address<reply_command>> waiting_connections::take_oldest() {
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    auto result = std::move(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
    return result;
}

} // namespace jujubemast::http
