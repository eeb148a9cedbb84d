#include "gateway/peers/peers.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "gateway/ownership.h"
#include "gateway/store/store_readers.h"

namespace jujubemast::gateway::peers {

namespace {

/// Whether the forwarder of the receiving gateway handles messages of this type.
template <typename Content>
constexpr bool is_for_forwarder =
    std::is_same_v<Content, backlog_report> || std::is_same_v<Content, crash_evidence> ||
    std::is_same_v<Content, reading_request> || std::is_same_v<Content, reading_response> ||
    std::is_same_v<Content, reading_ended>;

// Bounds what ZeroMQ holds for one connection at 4 MB. A message between gateways takes a few KB,
// and reports of crashes are divided into messages of less than half of this size.
constexpr wire::socket_limits link_limits{.high_water_mark = 1000,
                                          .receive_high_water_mark = 8,
                                          .max_message_bytes = std::int64_t{512} * 1024};

// The largest report, of an instance with a long address, takes about 100 bytes, and each part of a
// prompt 10.
constexpr std::size_t max_evidence_weight = 2048;

} // namespace

peers::peers(runtime::task_context context, std::shared_ptr<runtime::mailbox<peers_message>> inbox,
             runtime::address<forwarder_message> forwarder,
             runtime::address<dispatcher_message> dispatcher,
             runtime::address<catalog_message> catalog, gateway_record self,
             const peer_limits& limits)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_forwarder{std::move(forwarder)},
      m_dispatcher{std::move(dispatcher)}, m_catalog{std::move(catalog)}, m_self{std::move(self)},
      m_limits{limits}, m_timer{m_context.loop()}, m_stop_timer{m_context.loop()} {}

void peers::start() {
    m_router = std::make_unique<wire::router>(
        m_context, m_self.address,
        [this](const std::string& /*routing_id*/, const std::string& bytes) {
            message_received(bytes);
        },
        link_limits);
    m_owners = {m_self.name};
    m_inbox.receive(m_context.wrap([this](const peers_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    tick();
}

void peers::stop(const runtime::stop_done& done) {
    m_stop_done = done;
    continue_stop();
}

void peers::continue_stop() {
    std::erase_if(m_unacknowledged, [this](const auto& it) { return !is_live(it.first.origin); });
    if (m_unacknowledged.empty()) {
        if (const auto stopped = std::exchange(m_stop_done, {})) {
            stopped();
        }
        return;
    }
    for (const auto& [key, outcome] : m_unacknowledged) {
        send_to(key.origin, order_finished{key, outcome});
    }
    m_stop_timer.start(m_limits.acknowledgement_interval,
                       m_context.wrap([this] { continue_stop(); }));
}

void peers::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_stop_timer.cancel();
    m_peers.clear();
    m_router.reset();
}

void peers::handle(const gateways_changed& message) {
    std::erase_if(m_peers, [&](const auto& it) {
        const auto listed =
            std::find_if(message.gateways.begin(), message.gateways.end(),
                         [&](const gateway_record& known) { return known.name == it.first; });
        if (listed == message.gateways.end()) {
            // A gateway that stops deletes its row before it has finished its orders.
            return !(it.second.leaving && it.second.live);
        }
        return *listed != it.second.record;
    });
    for (const auto& it : message.gateways) {
        if (it.name == m_self.name || m_peers.contains(it.name)) {
            continue;
        }
        auto& added = m_peers[it.name];
        added.record = it;
        connect(added);
        // Together with the response this makes both live within milliseconds, so that not every
        // gateway of a deployment that starts owns all services until the next pings.
        send_ping(added, common::monotonic_clock::now());
    }
    update_live();
    reassign_orders();
}

void peers::connect(peer& target) {
    target.connected_at = common::monotonic_clock::now();
    try {
        target.link = std::make_unique<wire::dealer>(
            m_context, target.record.address, [](const std::string& /*bytes*/) {}, link_limits);
    } catch (const common::network_error& e) {
        m_log.warn("Could not connect to a gateway.",
                   {{"gateway", target.record.name}, {"reason", e.what()}});
    }
}

void peers::check_for_pause(common::time_point now) {
    const auto last = std::exchange(m_last_tick, now);
    if (!last || now - *last < m_limits.ping_interval + m_limits.pause_threshold) {
        return;
    }
    const auto pause = now - *last - m_limits.ping_interval;
    m_log.warn("This process was paused.",
               {{"ms", std::to_string(common::to_milliseconds(pause))}});
    for (auto& [name, it] : m_peers) {
        if (it.live) {
            // Its messages may wait in the socket.
            it.last_heard = std::max(it.last_heard, now - m_limits.ping_interval);
        }
    }
    m_unheard_until = now + m_limits.silence_limit;
    m_catalog.send(process_paused{pause});
    m_dispatcher.send(process_paused{pause});
}

void peers::send_ping(peer& target, common::time_point now) {
    if (!target.link) {
        return;
    }
    const bool heard = now - target.last_heard < m_limits.silence_limit;
    target.link->send(wire::encode(
        {m_self.name, m_self.incarnation, wire::gateway_ping{heard, m_leaving, now}}, now));
}

void peers::tick() {
    const auto now = common::monotonic_clock::now();
    check_for_pause(now);
    for (auto& [name, it] : m_peers) {
        const bool heard = now - it.last_heard < m_limits.silence_limit;
        // A silent connection may be dead while a new one would work.
        if (!(heard && it.hears_us) && now - it.connected_at > m_limits.silence_limit) {
            connect(it);
        }
        send_ping(it, now);
    }
    update_live();
    if (m_drain_repeats_left > 0) {
        --m_drain_repeats_left;
        send_drains_to_all();
    }
    for (auto& [number, it] : m_pending) {
        if (now - it.sent >= m_limits.resend_interval) {
            resend(it);
        }
    }
    m_timer.start(m_limits.ping_interval, m_context.wrap([this] { tick(); }));
}

void peers::update_live() {
    const auto now = common::monotonic_clock::now();
    std::vector<owner_candidate> candidates;
    bool any_lost = false;
    for (auto& [name, it] : m_peers) {
        const bool heard = now - it.last_heard < m_limits.silence_limit;
        const bool hears_us = it.hears_us || (it.live && now < m_unheard_until);
        const bool is_live = heard && hears_us;
        if (is_live != it.live) {
            it.live = is_live;
            any_lost = any_lost || !is_live;
            if (is_live) {
                send_leaving_instances(name);
                send_drains(name);
                m_forwarder.send(gateway_live{name});
            }
            m_log.info(is_live ? "Gateway is live." : "Gateway is not live.",
                       {{"gateway", name},
                        {"address", it.record.address},
                        {"hears_us", it.hears_us ? "yes" : "no"}});
        }
        if (is_live && !it.leaving) {
            candidates.push_back({name, it.record.processor_share});
        }
    }
    if (!m_leaving || candidates.empty()) {
        candidates.push_back({m_self.name, m_self.processor_share});
    }
    // A gateway that was leaving and is now silent has exited. It registers again when it restarts.
    std::erase_if(m_peers, [](const auto& it) { return it.second.leaving && !it.second.live; });
    update_store_readers();
    auto owners = eligible_owners(candidates);
    if (owners != m_owners) {
        m_owners = std::move(owners);
        m_dispatcher.send(owners_changed{m_owners, m_self.name});
    }
    if (any_lost) {
        reassign_orders();
    }
}

void peers::update_store_readers() {
    std::vector<owner_candidate> members;
    if (!m_leaving) {
        members.push_back({m_self.name, m_self.processor_share});
    }
    for (const auto& [name, it] : m_peers) {
        if (it.live && !it.leaving && it.record.failure_domain == m_self.failure_domain) {
            members.push_back({name, it.record.processor_share});
        }
    }
    m_store_readers = store::choose_store_readers(members);
    const store_role role{members.empty() || reads_store(m_self.name),
                          members.size() > m_store_readers.size()};
    if (role != m_role && m_catalog.send(role)) {
        m_role = role;
    }
}

bool peers::reads_store(const std::string& name) const {
    return std::find(m_store_readers.begin(), m_store_readers.end(), name) != m_store_readers.end();
}

bool peers::is_follower(const peer& target) const {
    return target.record.failure_domain == m_self.failure_domain &&
           !reads_store(target.record.name);
}

void peers::handle(const table_relay& message) {
    for (const auto& [name, it] : m_peers) {
        if (it.live && it.ping_sent && is_follower(it)) {
            send_to(name, table_relay{message.changes, it.remote_time(message.confirmed)});
        }
    }
}

void peers::handle(const instance_leaving& message) {
    if (!remember_leaving(message.instance)) {
        return;
    }
    for (const auto& [name, it] : m_peers) {
        if (it.live) {
            send_to(name, message);
        }
    }
}

void peers::handle(const crash_evidence& message) {
    for (const auto& part : message.divide(max_evidence_weight)) {
        for (const auto& [name, it] : m_peers) {
            if (it.live && (part.receiver.empty() || part.receiver == name)) {
                send_to(name, part);
            }
        }
    }
}

void peers::handle(const reading_request& message) {
    auto question = message;
    question.origin = m_self.name;
    // If the owner cannot be reached, the request is sent without a grant when its time is over.
    send_to(choose_owner(message.engine, m_owners), question);
}

void peers::handle(const reading_response& message) {
    send_to(message.origin, message);
}

void peers::handle(const reading_ended& message) {
    auto ended = message;
    ended.origin = m_self.name;
    send_to(choose_owner(message.engine, m_owners), ended);
}

bool peers::remember_leaving(const incarnation& instance) {
    const auto now = common::monotonic_clock::now();
    std::erase_if(m_leaving_instances, [&](const auto& it) {
        return now - it.second > m_limits.leaving_instance_retention;
    });
    if (!m_leaving_instances.try_emplace(instance, now).second) {
        return false;
    }
    m_catalog.send(instance_leaving{instance});
    return true;
}

void peers::send_leaving_instances(const std::string& name) {
    for (const auto& [instance, announced] : m_leaving_instances) {
        send_to(name, instance_leaving{instance});
    }
}

void peers::handle(const domain_drains& message) {
    remember_drains(message);
    m_drain_repeats_left = m_limits.drain_repeats;
    send_drains_to_all();
}

void peers::remember_drains(const domain_drains& message) {
    const auto now = common::monotonic_clock::now();
    for (const auto& it : message.drains) {
        m_drains.apply(it, now);
    }
}

void peers::send_drains(const std::string& name) {
    auto drains = m_drains.all();
    if (!drains.empty()) {
        send_to(name, domain_drains{std::move(drains)});
    }
}

void peers::send_drains_to_all() {
    for (const auto& [name, it] : m_peers) {
        if (it.live) {
            send_drains(name);
        }
    }
}

bool peers::is_live(const std::string& name) const {
    if (name == m_self.name) {
        return true;
    }
    const auto it = m_peers.find(name);
    return it != m_peers.end() && it->second.live;
}

void peers::handle(const shutdown_started& /*message*/) {
    m_leaving = true;
    update_live();
    tick();
}

bool peers::send_to(const std::string& name, const wire::gateway_content& content) {
    if (name == m_self.name) {
        return std::visit(
            [this](const auto& it) {
                using content_type = std::decay_t<decltype(it)>;
                if constexpr (std::is_same_v<content_type, wire::gateway_ping> ||
                              std::is_same_v<content_type, table_relay> ||
                              std::is_same_v<content_type, domain_drains>) {
                    return true;
                } else if constexpr (std::is_same_v<content_type, order_finished> ||
                                     std::is_same_v<content_type, outcome_acknowledged> ||
                                     std::is_same_v<content_type, instance_leaving>) {
                    handle(it);
                    return true;
                } else if constexpr (is_for_forwarder<content_type>) {
                    return m_forwarder.send(it);
                } else {
                    return m_dispatcher.send(it);
                }
            },
            content);
    }
    const auto it = m_peers.find(name);
    return it != m_peers.end() && it->second.link &&
           it->second.link->send(wire::encode({m_self.name, m_self.incarnation, content},
                                              common::monotonic_clock::now()));
}

void peers::handle(const backlog_report& message) {
    backlog_report owned;
    std::copy_if(message.services.begin(), message.services.end(),
                 std::back_inserter(owned.services),
                 [this](const service_backlog& it) { return owner_of(it.service) == m_self.name; });
    if (owned.services.empty()) {
        return;
    }
    send_to(m_self.name, owned);
    for (const auto& [name, it] : m_peers) {
        if (it.live) {
            send_to(name, owned);
        }
    }
}

void peers::ping_received(peer& from, const wire::gateway_ping& message, common::time_point now) {
    from.ping_sent = message.sent;
    from.ping_received = now;
    const bool changed = from.hears_us != message.hears_receiver || from.leaving != message.leaving;
    from.hears_us = message.hears_receiver;
    from.leaving = message.leaving;
    if (changed || !from.live) {
        update_live();
    }
}

void peers::message_received(const std::string& bytes) {
    const auto now = common::monotonic_clock::now();
    wire::gateway_message message;
    try {
        message = wire::decode_gateway_message(bytes, now);
    } catch (const common::format_error& e) {
        m_log.warn("Could not decode the message of a gateway.", {{"reason", e.what()}});
        return;
    }
    const auto from = m_peers.find(message.sender);
    if (from == m_peers.end() || from->second.record.incarnation != message.incarnation) {
        return;
    }
    const bool newly_heard = now - from->second.last_heard >= m_limits.silence_limit;
    from->second.last_heard = now;
    if (newly_heard) {
        send_ping(from->second, now);
    }
    std::visit(
        [&](const auto& it) {
            using content_type = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<content_type, wire::gateway_ping>) {
                ping_received(from->second, it, now);
            } else if constexpr (std::is_same_v<content_type, order_finished>) {
                handle(it);
                if (from->second.leaving) {
                    send_to(message.sender, outcome_acknowledged{{m_self.name, it.key.number}});
                }
            } else if constexpr (std::is_same_v<content_type, outcome_acknowledged>) {
                handle(it);
            } else if constexpr (std::is_same_v<content_type, instance_leaving>) {
                remember_leaving(it.instance);
            } else if constexpr (std::is_same_v<content_type, table_relay>) {
                m_catalog.send(it);
            } else if constexpr (std::is_same_v<content_type, domain_drains>) {
                remember_drains(it);
                m_catalog.send(it);
            } else if constexpr (is_for_forwarder<content_type>) {
                m_forwarder.send(it);
            } else {
                m_dispatcher.send(it);
            }
        },
        message.content);
}

boost::json::value peers::dump() const {
    boost::json::array owners;
    for (const auto& it : m_owners) {
        owners.emplace_back(it);
    }
    return boost::json::object{
        {"owners", std::move(owners)}, {"known", m_peers.size()}, {"pending", m_pending.size()}};
}

} // namespace jujubemast::gateway::peers
