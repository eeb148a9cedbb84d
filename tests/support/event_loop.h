#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "runtime/task.h"

namespace jujubemast::tests {

/// An event loop that is run by the test.
class event_loop {
public:
    event_loop() : m_executor{m_context} {}

    [[nodiscard]] const runtime::executor& executor() const { return m_executor; }

    /// Runs handlers until the condition is true. Returns false after 20 s.
    bool run_until(const std::function<bool()>& condition);

    /// Runs the handlers that are ready, without waiting.
    void run_ready();

    /// Returns a context for a task without a supervisor. Failures of the task are ignored.
    runtime::task_context context(const std::shared_ptr<runtime::task_lifecycle>& lifecycle) const {
        return {m_executor, lifecycle};
    }

private:
    boost::asio::io_context m_context{1};
    runtime::executor m_executor;
};

/// Returns the lifecycle of a task without a supervisor.
std::shared_ptr<runtime::task_lifecycle> make_lifecycle(const std::string& path);

} // namespace jujubemast::tests
