#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/json/fwd.hpp>

#include "runtime/executor.h"

namespace jujubemast::runtime {

/// Called once when an ordered stop is complete.
using stop_done = std::function<void()>;

/// A unit of concurrency that owns its sockets, timers and state. Only its own handlers touch them;
/// other tasks talk to it by messages. A supervisor creates, starts, stops and restarts it.
class task {
public:
    task() = default;
    virtual ~task() = default;
    task(const task&) = delete;
    task& operator=(const task&) = delete;

    /// Opens sockets and begins to receive messages. An exception counts as a failure of the task.
    virtual void start() = 0;

    /// Begins an ordered stop: accepts no new work, finishes what is in progress, then calls
    /// `done`.
    virtual void stop(const stop_done& done) { done(); }

    /// Releases sockets, timers and mailboxes at once. Called exactly once, after a stop or
    /// failure.
    virtual void close() noexcept = 0;

    /// Returns the state shown by a state dump. Must not contain secrets.
    [[nodiscard]] virtual boost::json::value dump() const;
};

/// Connects a running task instance with its supervisor.
struct task_lifecycle {
    std::string path;
    bool running = true;
    std::weak_ptr<task> instance;
    std::function<void(std::exception_ptr)> on_failure;
    std::function<void()> on_finish;
};

/// What a supervisor passes to a task: its path in the tree, the event loop, and functions that
/// report its end.
class task_context {
public:
    task_context(executor loop, std::shared_ptr<task_lifecycle> lifecycle)
        : m_loop{loop}, m_lifecycle{std::move(lifecycle)} {}

    /// The names of the supervisors and the task, separated by slashes.
    [[nodiscard]] const std::string& path() const { return m_lifecycle->path; }

    [[nodiscard]] const executor& loop() const { return m_loop; }

    [[nodiscard]] bool running() const { return m_lifecycle->running; }

    /// Wraps a handler of an asynchronous operation. The wrapper does nothing once the task has
    /// ended, and reports an exception that leaves the handler as the failure of the task. It keeps
    /// the task object alive, because composed operations use its buffers until they complete.
    template <typename Handler>
    auto wrap(Handler handler) const {
        return [lifecycle = m_lifecycle, owner = m_lifecycle->instance.lock(),
                handler = std::move(handler)](auto&&... arguments) mutable {
            if (!lifecycle->running) {
                return;
            }
            try {
                handler(std::forward<decltype(arguments)>(arguments)...);
            } catch (...) {
                report_failure(*lifecycle, std::current_exception());
            }
        };
    }

    /// Reports the failure of the task to its supervisor.
    void fail(std::exception_ptr reason) const { report_failure(*m_lifecycle, std::move(reason)); }

    /// Reports that the task has completed its work.
    void finish() const;

private:
    static void report_failure(task_lifecycle& lifecycle, std::exception_ptr reason);

    executor m_loop;
    std::shared_ptr<task_lifecycle> m_lifecycle;
};

/// Creates a new instance of a task; called at the first start and at each restart.
using task_factory = std::function<std::shared_ptr<task>(task_context)>;

} // namespace jujubemast::runtime
