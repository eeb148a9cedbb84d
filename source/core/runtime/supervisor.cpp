#include "runtime/supervisor.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"

namespace jujubemast::runtime {

namespace {

std::string describe_exception(const std::exception_ptr& reason) {
    try {
        std::rethrow_exception(reason);
    } catch (const std::exception& e) {
        return e.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace

supervisor::supervisor(task_context context, supervisor_options options,
                       std::vector<child_spec> children)
    : m_context{std::move(context)}, m_options{std::move(options)}, m_window{m_options.intensity},
      m_initial_children{std::move(children)} {}

void supervisor::start() {
    for (auto& spec : m_initial_children) {
        add_child(std::move(spec));
    }
    m_initial_children.clear();
}

bool supervisor::add_child(child_spec spec) {
    if (m_stopping) {
        return false;
    }
    auto& added = m_children.emplace_back();
    added.id = m_next_id++;
    added.spec = std::move(spec);
    start_child(added);
    return true;
}

void supervisor::start_child(child& target) {
    auto lifecycle = std::make_shared<task_lifecycle>();
    lifecycle->path = m_context.path() + "/" + target.spec.name;
    // The reports are posted to the event loop, because handling them destroys the task that makes
    // them.
    const auto id = target.id;
    const std::weak_ptr<task_lifecycle> weak_lifecycle = lifecycle;
    lifecycle->on_failure = [this, id, weak_lifecycle](std::exception_ptr reason) {
        m_context.loop().post(
            m_context.wrap([this, id, weak_lifecycle, reason = std::move(reason)] {
                child_failed(id, weak_lifecycle.lock(), reason);
            }));
    };
    lifecycle->on_finish = [this, id, weak_lifecycle] {
        m_context.loop().post(m_context.wrap(
            [this, id, weak_lifecycle] { child_finished(id, weak_lifecycle.lock()); }));
    };
    target.lifecycle = lifecycle;
    target.state = child_state::running;
    try {
        target.instance = target.spec.make(task_context{m_context.loop(), lifecycle});
        lifecycle->instance = target.instance;
        target.instance->start();
    } catch (...) {
        lifecycle->on_failure(std::current_exception());
    }
}

void supervisor::child_failed(std::uint64_t id, const std::shared_ptr<task_lifecycle>& lifecycle,
                              const std::exception_ptr& reason) {
    auto* failed = find_child(id);
    if (failed == nullptr || failed->lifecycle != lifecycle ||
        failed->state == child_state::ended) {
        return;
    }
    const auto message = describe_exception(reason);
    m_log.error("Task failed.", {{"task", lifecycle->path}, {"reason", message}});
    const bool was_stopping = failed->state == child_state::stopping;
    close_child(*failed);
    if (was_stopping) {
        child_stopped(id);
        return;
    }
    if (failed->spec.restart == restart_policy::temporary || m_stopping) {
        remove_child(id);
        return;
    }
    if (!m_window.record(m_options.clock())) {
        escalate_failure(*failed, message);
        return;
    }
    restart_after_failure(*failed);
}

void supervisor::restart_after_failure(child& failed) {
    switch (m_options.strategy) {
    case restart_strategy::one_for_one:
        ++failed.restarts;
        start_child(failed);
        return;
    case restart_strategy::rest_for_one:
    case restart_strategy::one_for_all:
        break;
    }
    const auto position = std::find_if(m_children.begin(), m_children.end(),
                                       [&](const child& it) { return it.id == failed.id; });
    const auto first =
        m_options.strategy == restart_strategy::one_for_all ? m_children.begin() : position;
    for (auto it = m_children.end(); it != first;) {
        close_child(*--it);
    }
    for (auto it = first; it != m_children.end(); ++it) {
        ++it->restarts;
        start_child(*it);
    }
}

void supervisor::escalate_failure(const child& failed, const std::string& reason) {
    const auto message = "restart intensity exceeded at " + failed.lifecycle->path + ": " + reason;
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        close_child(*it);
    }
    m_context.fail(std::make_exception_ptr(common::error{message}));
}

void supervisor::child_finished(std::uint64_t id,
                                const std::shared_ptr<task_lifecycle>& lifecycle) {
    auto* finished = find_child(id);
    if (finished == nullptr || finished->lifecycle != lifecycle ||
        finished->state == child_state::ended) {
        return;
    }
    const bool was_stopping = finished->state == child_state::stopping;
    close_child(*finished);
    if (was_stopping) {
        child_stopped(id);
        return;
    }
    if (finished->spec.restart == restart_policy::permanent && !m_stopping) {
        ++finished->restarts;
        start_child(*finished);
        return;
    }
    remove_child(id);
}

void supervisor::stop(const stop_done& done) {
    m_stopping = true;
    m_stop_callback = done;
    switch (m_options.order) {
    case stop_order::reverse:
        break;
    case stop_order::together:
        for (auto& it : m_children) {
            stop_child(it);
        }
        break;
    }
    stop_next_child();
}

void supervisor::stop_next_child() {
    while (!m_children.empty() && m_children.back().state == child_state::ended) {
        m_children.pop_back();
    }
    if (m_children.empty()) {
        if (auto done = std::exchange(m_stop_callback, nullptr)) {
            done();
        }
        return;
    }
    if (m_children.back().state == child_state::running) {
        stop_child(m_children.back());
    }
}

void supervisor::stop_child(child& target) {
    if (target.state != child_state::running) {
        return;
    }
    target.state = child_state::stopping;
    const auto id = target.id;
    target.stop_timer = std::make_unique<timer>(m_context.loop());
    target.stop_timer->start(target.spec.stop_timeout, m_context.wrap([this, id] {
        m_log.warn("Stop limit reached; closing the task.",
                   {{"task", find_child(id)->lifecycle->path}});
        child_stopped(id);
    }));
    try {
        target.instance->stop([this, id] {
            m_context.loop().post(m_context.wrap([this, id] { child_stopped(id); }));
        });
    } catch (...) {
        target.lifecycle->on_failure(std::current_exception());
    }
}

void supervisor::child_stopped(std::uint64_t id) {
    if (find_child(id) == nullptr) {
        return;
    }
    remove_child(id);
    if (m_stopping) {
        stop_next_child();
    }
}

void supervisor::close() noexcept {
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        close_child(*it);
    }
    m_children.clear();
}

void supervisor::close_child(child& target) noexcept {
    if (target.state == child_state::ended) {
        return;
    }
    target.state = child_state::ended;
    target.stop_timer.reset();
    target.lifecycle->running = false;
    if (target.instance) {
        target.instance->close();
        target.instance.reset();
    }
}

void supervisor::remove_child(std::uint64_t id) {
    const auto position = std::find_if(m_children.begin(), m_children.end(),
                                       [&](const child& it) { return it.id == id; });
    if (position != m_children.end()) {
        close_child(*position);
        m_children.erase(position);
    }
    if (m_stopping) {
        stop_next_child();
    }
}

supervisor::child* supervisor::find_child(std::uint64_t id) {
    const auto position = std::find_if(m_children.begin(), m_children.end(),
                                       [&](const child& it) { return it.id == id; });
    return position == m_children.end() ? nullptr : &*position;
}

boost::json::value supervisor::dump() const {
    boost::json::object children;
    for (const auto& it : m_children) {
        boost::json::object entry;
        entry["state"] = common::to_name(it.state);
        entry["restart"] = common::to_name(it.spec.restart);
        entry["restarts"] = it.restarts;
        if (it.instance) {
            entry["detail"] = it.instance->dump();
        }
        children[it.spec.name] = std::move(entry);
    }
    return boost::json::object{{"strategy", common::to_name(m_options.strategy)},
                               {"children", std::move(children)}};
}

} // namespace jujubemast::runtime
