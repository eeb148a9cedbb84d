#include "sidecar/status_reporter.h"

#include <utility>

namespace jujubemast::sidecar {

status_reporter::status_reporter(runtime::task_context context, runtime::address<link_command> link,
                                 common::duration interval,
                                 std::function<status_changed()> read_status)
    : m_context{std::move(context)}, m_link{std::move(link)}, m_interval{interval},
      m_read_status{std::move(read_status)}, m_timer{m_context.loop()} {}

void status_reporter::notify_changed() {
    if (std::exchange(m_send_scheduled, true)) {
        return;
    }
    m_timer.start(m_interval, m_context.wrap([this] {
        m_send_scheduled = false;
        send_if_changed();
    }));
}

void status_reporter::send_if_changed() {
    auto status = m_read_status();
    if (m_last_sent == status) {
        return;
    }
    m_last_sent = status;
    m_link.send(std::move(status));
}

void status_reporter::send_now() {
    m_last_sent = m_read_status();
    m_link.send(*m_last_sent);
}

void status_reporter::close() noexcept {
    m_timer.cancel();
}

} // namespace jujubemast::sidecar
