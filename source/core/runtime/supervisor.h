#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/enum_names.h"
#include "common/time.h"
#include "logging/logger.h"
#include "runtime/restart_window.h"
#include "runtime/task.h"

namespace jujubemast::runtime {

/// When a child that has ended is restarted: always, only after a failure, or never.
enum class restart_policy { permanent, transient, temporary };

/// Which children are restarted when one fails: only that one, that one and those started after it,
/// or all.
enum class restart_strategy { one_for_one, rest_for_one, one_for_all };

/// Whether children stop one after the other in reverse order, or all at the same time.
enum class stop_order { reverse, together };

/// State of a child in its lifecycle.
enum class child_state { running, stopping, ended };

/// Describes a child of a supervisor.
struct child_spec {
    std::string name;
    task_factory make;
    restart_policy restart = restart_policy::permanent;
    /// A child whose ordered stop takes longer than this is closed.
    common::duration stop_timeout = std::chrono::seconds{60};
};

struct supervisor_options {
    restart_strategy strategy = restart_strategy::one_for_one;
    restart_intensity intensity = {};
    stop_order order = stop_order::reverse;
    common::clock_hook clock = common::system_monotonic_clock_hook();
};

/// A task that starts its children in order, restarts those that fail and stops them in order. When
/// the restart intensity is exceeded, it closes all children and fails itself.
class supervisor final : public task, public std::enable_shared_from_this<supervisor> {
public:
    supervisor(task_context context, supervisor_options options, std::vector<child_spec> children);

    void start() override;
    void stop(const stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

    /// Starts an additional child. Returns false while the supervisor is stopping.
    bool add_child(child_spec spec);

    [[nodiscard]] std::size_t child_count() const { return m_children.size(); }

private:
    struct child {
        std::uint64_t id = 0;
        child_spec spec;
        std::shared_ptr<task> instance;
        std::shared_ptr<task_lifecycle> lifecycle;
        std::uint64_t restarts = 0;
        child_state state = child_state::ended;
        std::unique_ptr<timer> stop_timer;
    };

    void start_child(child& target);
    void child_failed(std::uint64_t id, const std::shared_ptr<task_lifecycle>& lifecycle,
                      const std::exception_ptr& reason);
    void child_finished(std::uint64_t id, const std::shared_ptr<task_lifecycle>& lifecycle);
    void restart_after_failure(child& failed);
    void escalate_failure(const child& failed, const std::string& reason);
    void stop_next_child();
    void stop_child(child& target);
    void child_stopped(std::uint64_t id);
    void remove_child(std::uint64_t id);
    child* find_child(std::uint64_t id);
    static void close_child(child& target) noexcept;

    task_context m_context;
    supervisor_options m_options;
    restart_window m_window;
    logging::logger m_log{"supervisor"};
    std::list<child> m_children;
    std::vector<child_spec> m_initial_children;
    std::uint64_t m_next_id = 1;
    bool m_stopping = false;
    stop_done m_stop_callback;
};

} // namespace jujubemast::runtime

namespace jujubemast::common {

template <>
struct enum_names<runtime::restart_policy> {
    static constexpr std::array<std::string_view, 3> table{"permanent", "transient", "temporary"};
};

template <>
struct enum_names<runtime::restart_strategy> {
    static constexpr std::array<std::string_view, 3> table{"one_for_one", "rest_for_one",
                                                           "one_for_all"};
};

template <>
struct enum_names<runtime::stop_order> {
    static constexpr std::array<std::string_view, 2> table{"reverse", "together"};
};

template <>
struct enum_names<runtime::child_state> {
    static constexpr std::array<std::string_view, 3> table{"running", "stopping", "ended"};
};

} // namespace jujubemast::common
