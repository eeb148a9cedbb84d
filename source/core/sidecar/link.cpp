#include "sidecar/link.h"

#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "common/time.h"
#include "wire/codec.h"

namespace jujubemast::sidecar {

link::link(runtime::task_context context, std::shared_ptr<runtime::mailbox<link_command>> inbox,
           runtime::address<admission_message> admission, std::string listen)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_admission{std::move(admission)}, m_listen{std::move(listen)} {}

void link::start() {
    m_inbox.receive(m_context.wrap([this](const link_command& command) {
        std::visit([this](const auto& it) { handle(it); }, command);
    }));
    m_socket = std::make_unique<wire::router>(
        m_context, m_listen,
        m_context.wrap([this](const std::string& routing_id, const std::string& bytes) {
            received(routing_id, bytes);
        }));
    m_log.info("Listening.", {{"task", m_context.path()}, {"address", m_socket->address()}});
}

void link::close() noexcept {
    m_inbox.close();
    m_socket.reset();
}

void link::handle(const send_to_entry& command) {
    if (!m_socket->send(command.routing_id, wire::encode(command.content))) {
        // The entry asks again for what it misses, or has given up.
        ++m_unsent;
    }
}

void link::handle(const status_changed& command) {
    m_status = command;
}

void link::received(const std::string& routing_id, const std::string& bytes) {
    ++m_received;
    try {
        auto message = wire::decode(bytes);
        if (const auto* ping = std::get_if<protocol::ping>(&message)) {
            answer(routing_id, *ping);
            return;
        }
        if (!m_admission.send(entry_message{routing_id, std::move(message)})) {
            m_log.warn("Dropped a message; the admission task does not keep up.");
        }
    } catch (const common::format_error& e) {
        m_log.warn("Dropped a message.", {{"reason", e.what()}});
    }
}

void link::answer(const std::string& routing_id, const protocol::ping& ping) {
    if (!m_status) {
        return;
    }
    const auto now = common::monotonic_clock::now();
    handle(send_to_entry{routing_id, protocol::pong{ping.nonce, m_status->incarnation,
                                                    common::to_microseconds(now), 0,
                                                    m_status->draining, m_status->load}});
}

boost::json::value link::dump() const {
    return boost::json::object{{"address", m_socket ? m_socket->address() : m_listen},
                               {"received", m_received},
                               {"unsent", m_unsent}};
}

} // namespace jujubemast::sidecar
