#pragma once

#include <functional>
#include <memory>

#include "common/time.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jujubemast::runtime {

/// The event loop of a process. All tasks of a process run on one thread, so no task needs a lock.
class executor {
public:
    explicit executor(boost::asio::io_context& context) : m_context{&context} {}

    /// Queues the function to run after the current handler.
    void post(std::function<void()> function) const;

    /// The underlying I/O context, for tasks that own sockets.
    [[nodiscard]] boost::asio::io_context& context() const { return *m_context; }

private:
    boost::asio::io_context* m_context;
};

/// A one-shot timer. Starting it again replaces the pending wait, and destroying it cancels the
/// wait. The handler of a wait that was replaced or cancelled is never called, even if the wait had
/// already expired.
class timer {
public:
    explicit timer(const executor& loop);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Calls the handler once after the delay. The handler must come from `task_context::wrap`.
    void start(common::duration delay, std::function<void()> handler);

    void cancel();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace jujubemast::runtime
