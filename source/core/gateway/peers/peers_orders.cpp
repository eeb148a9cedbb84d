#include "gateway/ownership.h"
#include "gateway/peers/peers.h"

// Gives orders for stage pieces to the owners of their services, and their outcomes back.

namespace jujubemast::gateway::peers {

void peers::reassign_orders() {
    for (auto& [number, it] : m_pending) {
        if (!is_live(it.owner)) {
            // The owner may be alive behind a broken link. The cancellation keeps it from making
            // the pieces as well.
            send_to(it.owner, cancel_order{it.order.service, it.order.key});
            assign(it);
        }
    }
}

std::string peers::owner_of(const std::string& service) const {
    return choose_owner(service, m_owners);
}

void peers::assign(pending_order& pending) {
    pending.owner = owner_of(pending.order.service);
    pending.sent = common::monotonic_clock::now();
    if (!send_to(pending.owner, pending.order)) {
        // The link is down or its queue is full, so this gateway makes the pieces itself.
        pending.owner = m_self.name;
        send_to(m_self.name, pending.order);
    }
}

void peers::resend(pending_order& pending) {
    // A previous owner that is alive finishes its orders, because their calls have already read and
    // released the inputs.
    if (!is_live(pending.owner)) {
        assign(pending);
        return;
    }
    pending.sent = common::monotonic_clock::now();
    send_to(pending.owner, pending.order);
}

void peers::handle(const piece_order& message) {
    auto& pending = m_pending[message.key.number];
    pending.order = message;
    pending.order.key.origin = m_self.name;
    assign(pending);
}

void peers::handle(const cancel_order& message) {
    const auto it = m_pending.find(message.key.number);
    if (it == m_pending.end()) {
        return;
    }
    const cancel_order content{message.service, {m_self.name, message.key.number}};
    send_to(it->second.owner, content);
    m_pending.erase(it);
}

void peers::handle(const release_results& message) {
    const auto owner = owner_of(message.service);
    if (!send_to(owner, message)) {
        send_to(m_self.name, message);
    }
}

void peers::handle(const order_finished& message) {
    if (!message.key.origin.empty() && message.key.origin != m_self.name) {
        // If this message is lost, the origin resends the order to get the outcome.
        send_to(message.key.origin, message);
        if (m_leaving) {
            m_unacknowledged[message.key] = message.outcome;
        }
        return;
    }
    const auto it = m_pending.find(message.key.number);
    if (it != m_pending.end()) {
        m_pending.erase(it);
        m_forwarder.send(order_ended{message.key.number, message.outcome});
    }
}

void peers::handle(const outcome_acknowledged& message) {
    m_unacknowledged.erase(message.key);
    if (m_stop_done && m_unacknowledged.empty()) {
        continue_stop();
    }
}

} // namespace jujubemast::gateway::peers
