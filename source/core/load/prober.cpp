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
      m_probe_in_progress(entries.size(), false) {
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
        if (m_probe_in_progress[n]) {
            continue;
        }
        m_probe_in_progress[n] = true;
        m_clients[n]->send({"GET", "/readyz", {}, {}}, [this, n](const http::call_result& result) {
            const auto* response = std::get_if<http::response>(&result);
            probe_completed(n, response != nullptr && response->status == 200);
        });
    }
    m_timer.start(probe_interval, m_context.wrap([this] { probe(); }));
}

void prober::probe_completed(std::size_t entry, bool ready) {
    m_probe_in_progress[entry] = false;
    m_sender.send(entry_readiness{entry, ready});
}

} // namespace jujubemast::load
