#include "load/prober.h"

#include <utility>

namespace jujubemast::load {

namespace {

constexpr common::duration probe_interval = std::chrono::milliseconds{200};
constexpr common::duration probe_timeout = std::chrono::seconds{1};

} // namespace

prober::prober(runtime::task_context context, const std::vector<http::endpoint>& entries,
               runtime::address<sender_message> sender)
    : m_context{std::move(context)}, m_sender{std::move(sender)}, m_timer{m_context.loop()},
      m_waiting(entries.size(), false) {
    for (const auto& it : entries) {
        m_clients.push_back(
            std::make_unique<http::client>(m_context, it,
                                           http::client_limits{.connect_timeout = probe_timeout,
                                                               .head_timeout = probe_timeout,
                                                               .total_timeout = 2 * probe_timeout,
                                                               .max_idle_connections = 1}));
    }
}

void prober::start() {
    probe();
}

void prober::close() noexcept {
    m_timer.cancel();
    m_clients.clear();
}

void prober::probe() {
    for (std::size_t n = 0; n < m_clients.size(); ++n) {
        if (m_waiting[n]) {
            continue;
        }
        m_waiting[n] = true;
        m_clients[n]->send({"GET", "/readyz", {}, {}}, [this, n](const http::call_result& result) {
            const auto* answer = std::get_if<http::response>(&result);
            probed(n, answer != nullptr && answer->status == 200);
        });
    }
    m_timer.start(probe_interval, m_context.wrap([this] { probe(); }));
}

void prober::probed(std::size_t entry, bool ready) {
    m_waiting[entry] = false;
    m_sender.send(entry_state{entry, ready});
}

} // namespace jujubemast::load
