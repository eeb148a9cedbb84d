#include "sidecar/link.h"

#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "common/time.h"
#include "wire/codec.h"

namespace jujubemast::sidecar {

link::link(runtime::task_context context, std::shared_ptr<runtime::mailbox<link_command>> inbox,
           runtime::address<admission_message> admission,
           runtime::address<tickets::replica_message> replica, std::string listen)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_admission{std::move(admission)},
      m_replica{std::move(replica)}, m_listen{std::move(listen)} {}

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

void link::handle(const announce_revision& command) {
    m_revision = command.revision;
}

void link::received(const std::string& routing_id, const std::string& bytes) {
    ++m_received;
    try {
        auto message = wire::decode(bytes);
        if (const auto* ping = std::get_if<protocol::ping>(&message)) {
            answer(routing_id, *ping);
            return;
        }
        pass_on(routing_id, std::move(message));
    } catch (const common::format_error& e) {
        m_log.warn("Dropped a message.", {{"reason", e.what()}});
    }
}

void link::pass_on(const std::string& routing_id, protocol::message message) {
    if (const auto* fetch = std::get_if<protocol::configuration_fetch>(&message)) {
        m_replica.send(tickets::peer_fetch{routing_id, *fetch});
    } else if (auto* state = std::get_if<protocol::configuration_state>(&message)) {
        m_replica.send(tickets::peer_state{routing_id, std::move(*state)});
    } else if (!m_admission.send(entry_message{routing_id, std::move(message)})) {
        m_log.warn("Dropped a message; the admission task does not keep up.");
    }
}

void link::answer(const std::string& routing_id, const protocol::ping& ping) {
    if (ping.revision > m_revision) {
        m_replica.send(tickets::peer_revision{routing_id, ping.revision});
    }
    if (!m_status) {
        return;
    }
    const auto now = common::monotonic_clock::now();
    handle(send_to_entry{routing_id, protocol::pong{ping.nonce, m_status->incarnation,
                                                    common::to_microseconds(now), m_revision,
                                                    m_status->draining, m_status->load}});
}

boost::json::value link::dump() const {
    return boost::json::object{{"address", m_socket ? m_socket->address() : m_listen},
                               {"revision", m_revision},
                               {"received", m_received},
                               {"unsent", m_unsent}};
}

} // namespace jujubemast::sidecar
