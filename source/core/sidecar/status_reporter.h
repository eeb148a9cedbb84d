#pragma once

#include <functional>
#include <optional>

#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "sidecar/messages.h"

namespace jujubemast::sidecar {

/// Sends the status for heartbeat responses to the link when it has changed, at most once per
/// interval.
class status_reporter {
public:
    status_reporter(runtime::task_context context, runtime::address<link_command> link,
                    common::duration interval, std::function<status_changed()> read_status);

    /// Reports that the status may have changed.
    void notify_changed();

    /// Sends the status immediately, whether or not it has changed.
    void send_now();

    void close() noexcept;

private:
    void send_if_changed();

    runtime::task_context m_context;
    runtime::address<link_command> m_link;
    common::duration m_interval;
    std::function<status_changed()> m_read_status;
    runtime::timer m_timer;
    bool m_send_scheduled = false;
    std::optional<status_changed> m_last_sent;
};

} // namespace jujubemast::sidecar
