#include "sidecar/link.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "common/time.h"
#include "wire/codec.h"

namespace jujubemast::sidecar {

namespace {

// Number of checks for silent connections per silence limit.
constexpr int checks_per_silence_limit = 8;

// The entry's next heartbeat after a response that reports the draining shows that everything sent
// before the entry knew has arrived.
constexpr std::uint32_t drain_pongs_required = 2;

// Minimum interval between two load reports over a connection. Limits the bytes that they add to
// results.
constexpr common::duration load_report_interval = std::chrono::milliseconds{100};

} // namespace

link::link(runtime::task_context context, std::shared_ptr<runtime::mailbox<link_command>> inbox,
           runtime::address<admission_message> admission,
           runtime::address<tickets::replica_message> replica, link_options options,
           link_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_admission{std::move(admission)}, m_replica{std::move(replica)},
      m_options{std::move(options)}, m_hooks{std::move(hooks)}, m_timer{m_context.loop()} {}

void link::start() {
    m_accept = m_context.wrap([this](const std::string& routing_id, const protocol::message& it) {
        accept(routing_id, it);
    });
    m_send = m_context.wrap([this](const std::string& routing_id, const protocol::message& it) {
        send(routing_id, it);
    });
    m_inbox.receive(m_context.wrap([this](const link_command& command) {
        std::visit([this](const auto& it) { handle(it); }, command);
    }));
    m_socket = std::make_unique<wire::router>(
        m_context, m_options.listen,
        m_context.wrap([this](const std::string& routing_id, const std::string& bytes) {
            received(routing_id, bytes);
        }));
    m_log.info("Listening.", {{"task", m_context.path()}, {"address", m_socket->address()}});
    m_last_check = common::monotonic_clock::now();
    schedule_check();
}

void link::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_socket.reset();
}

void link::handle(const send_to_entry& command) {
    auto message = command.content;
    auto* end = std::get_if<protocol::result_end>(&message);
    if (end != nullptr && m_status &&
        load_report_due(command.routing_id, common::monotonic_clock::now())) {
        end->load = m_status->load;
    }
    if (m_hooks.outbound) {
        m_hooks.outbound(command.routing_id, message, m_send);
        return;
    }
    send(command.routing_id, message);
}

bool link::load_report_due(const std::string& routing_id, common::time_point now) {
    const auto it = m_connections.find(routing_id);
    if (it == m_connections.end() || now - it->second.last_report < load_report_interval) {
        return false;
    }
    it->second.last_report = now;
    return true;
}

void link::send(const std::string& routing_id, const protocol::message& message) {
    if (!m_socket->send(routing_id, wire::encode(message))) {
        // The entry fetches what it has not received, or it has given up.
        ++m_unsent;
    }
}

void link::handle(const status_changed& command) {
    m_status = command;
    if (!command.draining) {
        for (auto& [routing_id, it] : m_connections) {
            it.drain_pongs = 0;
        }
    }
    announce_drain();
}

void link::announce_drain() {
    const bool announced =
        m_status && m_status->draining &&
        std::all_of(m_connections.begin(), m_connections.end(),
                    [](const auto& it) { return it.second.drain_pongs >= drain_pongs_required; });
    if (announced != m_drain_announced) {
        m_drain_announced = announced;
        m_admission.send(drain_announced{announced});
    }
}

void link::handle(const announce_revision& command) {
    m_revision = command.revision;
}

void link::received(const std::string& routing_id, const std::string& bytes) {
    ++m_received;
    try {
        const auto message = wire::decode(bytes);
        if (m_hooks.inbound) {
            m_hooks.inbound(routing_id, message, m_accept);
            return;
        }
        accept(routing_id, message);
    } catch (const common::format_error& e) {
        m_log.warn("Dropped a message.", {{"reason", e.what()}});
    }
}

void link::accept(const std::string& routing_id, const protocol::message& message) {
    if (const auto* ping = std::get_if<protocol::ping>(&message)) {
        record_ping(routing_id, *ping);
        send_pong(routing_id, *ping);
    } else if (const auto* fetch = std::get_if<protocol::configuration_fetch>(&message)) {
        m_replica.send(tickets::peer_fetch{routing_id, *fetch});
    } else if (const auto* state = std::get_if<protocol::configuration_state>(&message)) {
        m_replica.send(tickets::peer_state{routing_id, *state});
    } else if (!m_admission.send(entry_message{routing_id, message})) {
        m_log.warn("Dropped a message; the admission task is not running or its mailbox is full.");
    }
}

void link::record_ping(const std::string& routing_id, const protocol::ping& ping) {
    auto& it = m_connections[routing_id];
    if (it.number == 0) {
        it.number = m_next_connection++;
        it.entry = ping.entry;
    }
    it.last_ping = common::monotonic_clock::now();
    it.leaving = ping.leaving;
    announce_leaving();
}

void link::announce_leaving() {
    const bool leaving = std::any_of(m_connections.begin(), m_connections.end(),
                                     [](const auto& it) { return it.second.leaving; });
    if (leaving != m_leaving) {
        m_leaving = leaving;
        m_admission.send(leaving_changed{leaving});
    }
}

void link::drop_silent_connections() {
    const auto now = common::monotonic_clock::now();
    // After a pause of this process, heartbeats of live entries may still be queued in the socket.
    const bool paused = now - std::exchange(m_last_check, now) > m_options.silence_limit / 2;
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if (paused) {
            it->second.last_ping = now;
        }
        if (now - it->second.last_ping <= m_options.silence_limit) {
            ++it;
            continue;
        }
        m_log.warn("Connection is silent.", {{"entry", it->second.entry}});
        m_admission.send(connection_lost{it->first});
        it = m_connections.erase(it);
    }
    announce_leaving();
    announce_drain();
}

void link::schedule_check() {
    m_timer.start(m_options.silence_limit / checks_per_silence_limit, m_context.wrap([this] {
        drop_silent_connections();
        schedule_check();
    }));
}

void link::send_pong(const std::string& routing_id, const protocol::ping& ping) {
    if (ping.revision > m_revision) {
        m_replica.send(tickets::peer_revision{routing_id, ping.revision});
    }
    if (!m_status) {
        return;
    }
    const auto now = common::monotonic_clock::now();
    auto& target = m_connections.at(routing_id);
    handle(send_to_entry{
        routing_id, protocol::pong{ping.nonce, m_status->incarnation, common::to_microseconds(now),
                                   m_revision, m_status->draining, m_status->load, target.number}});
    if (m_status->draining) {
        ++target.drain_pongs;
        announce_drain();
    }
}

boost::json::value link::dump() const {
    return boost::json::object{{"address", m_socket ? m_socket->address() : m_options.listen},
                               {"connections", m_connections.size()},
                               {"leaving", m_leaving},
                               {"revision", m_revision},
                               {"received", m_received},
                               {"unsent", m_unsent}};
}

} // namespace jujubemast::sidecar
