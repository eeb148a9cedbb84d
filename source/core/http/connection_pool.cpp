#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

#include "http/socket_options.h"

namespace jujubemast::http {

connection_pool::connection_pool(const runtime::task_context& context, std::size_t max_size)
    : m_context{context}, m_max_size{max_size}, m_expiry_timer{context.loop()} {}

connection_pool::connection connection_pool::take() {
    const auto now = common::monotonic_clock::now();
    while (!m_connections.empty()) {
        auto candidate = std::move(m_connections.back());
        m_connections.pop_back();
        if (now < candidate.expires_at && is_idle(candidate.stream->socket())) {
            return std::move(candidate.stream);
        }
    }
    return nullptr;
}

void connection_pool::keep(connection idle, common::duration lifetime) {
    if (lifetime <= common::duration::zero()) {
        return;
    }
    m_connections.push_back({std::move(idle), common::monotonic_clock::now() + lifetime});
    shrink_to(m_max_size);
    close_expired();
}

void connection_pool::shrink_to(std::size_t limit) {
    while (m_connections.size() > std::min(limit, m_max_size)) {
        m_connections.pop_front();
    }
}

void connection_pool::clear() noexcept {
    m_connections.clear();
    m_expiry_timer.cancel();
}

void connection_pool::close_expired() {
    const auto now = common::monotonic_clock::now();
    m_connections.remove_if([now](const idle_connection& it) { return it.expires_at <= now; });
    if (m_connections.empty()) {
        m_expiry_timer.cancel();
        return;
    }
    const auto next = std::min_element(m_connections.begin(), m_connections.end(),
                                       [](const idle_connection& a, const idle_connection& b) {
                                           return a.expires_at < b.expires_at;
                                       });
    m_expiry_timer.start(next->expires_at - now, m_context.wrap([this] { close_expired(); }));
}

} // namespace jujubemast::http
