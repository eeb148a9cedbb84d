#pragma once

#include <memory>

#include "http/server.h"
#include "support/event_loop.h"

namespace jujubemast::tests {

/// A server on a free port of the loopback interface that a test's event loop runs.
class loop_server {
public:
    /// Returns when the server listens.
    loop_server(event_loop& loop, http::handler handler);
    ~loop_server() = default;
    loop_server(const loop_server&) = delete;
    loop_server& operator=(const loop_server&) = delete;

    [[nodiscard]] const http::endpoint& address() const { return m_address; }

    /// Closes the listener and all connections. Has to be called before the loop ends.
    void close();

private:
    http::endpoint m_address;
    std::shared_ptr<runtime::task_lifecycle> m_life = make_lifecycle("server");
    std::shared_ptr<runtime::task> m_task;
};

} // namespace jujubemast::tests
