#include "support/loop_server.h"

#include <stdexcept>
#include <utility>

namespace jujubemast::tests {

loop_server::loop_server(event_loop& loop, http::handler handler) {
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    options.on_listening = [this](const http::endpoint& bound) { m_address = bound; };
    m_task = http::make_server("server", options, std::move(handler)).make(loop.context(m_life));
    m_life->instance = m_task;
    m_task->start();
    if (!loop.run_until([this] { return m_address.port != 0; })) {
        throw std::runtime_error{"the server does not listen"};
    }
}

void loop_server::close() {
    m_life->running = false;
    m_task->close();
}

} // namespace jujubemast::tests
