#include "runtime/process.h"

#include <csignal>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include "common/error.h"
#include "logging/logger.h"

namespace jujubemast::runtime {

namespace {

/// Calls the hook on each SIGHUP.
void wait_for_reload(boost::asio::signal_set& signals, const reload_hook& reload) {
    signals.async_wait([&signals, &reload](const boost::system::error_code& ec, int /*signal*/) {
        if (ec) {
            return;
        }
        reload();
        wait_for_reload(signals, reload);
    });
}

} // namespace

int run_process(const std::string& name, const tree_builder& build, const reload_hook& reload) {
    // Writes to a closed connection or pipe fail with an error instead of ending the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const logging::logger log{"process"};
    boost::asio::io_context context{1};
    const executor loop{context};
    // Installed before the tree is built, so that a signal that arrives meanwhile is handled
    // afterwards.
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    boost::asio::signal_set reload_signals{context};
    if (reload) {
        reload_signals.add(SIGHUP);
    }
    int result = static_cast<int>(exit_code::success);

    auto lifecycle = std::make_shared<task_lifecycle>();
    lifecycle->path = name;
    lifecycle->on_failure = [&](const std::exception_ptr& reason) {
        try {
            std::rethrow_exception(reason);
        } catch (const std::exception& e) {
            log.error("Process failed.", {{"reason", e.what()}});
        }
        result = static_cast<int>(exit_code::failure);
        context.stop();
    };

    std::shared_ptr<supervisor> root;
    const auto stop = [&](int code) {
        result = code;
        root->stop([&context] { context.stop(); });
    };
    auto children = build(loop, {[&root] { return root->dump(); }, stop});
    root = std::make_shared<supervisor>(
        task_context{loop, lifecycle},
        supervisor_options{.strategy = restart_strategy::rest_for_one}, std::move(children));
    lifecycle->instance = root;

    signals.async_wait([&](const boost::system::error_code& ec, int signal) {
        if (!ec) {
            log.info("Stopping on signal.", {{"signal", std::to_string(signal)}});
            stop(static_cast<int>(exit_code::success));
        }
    });

    if (reload) {
        wait_for_reload(reload_signals, reload);
    }

    root->start();
    log.info("Process started.", {{"name", name}});
    context.run();
    lifecycle->running = false;
    root->close();
    log.info("Process ended.", {{"code", std::to_string(result)}});
    return result;
}

} // namespace jujubemast::runtime
