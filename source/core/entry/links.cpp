#include "entry/links.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "policy/subset.h"
#include "wire/codec.h"

namespace jujubemast::entry {

links::links(runtime::task_context context, std::shared_ptr<runtime::mailbox<links_message>> inbox,
             runtime::address<coordinator_message> coordinator,
             runtime::address<tickets::replica_message> replica, link_identity identity,
             link_limits limits)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_coordinator{std::move(coordinator)}, m_replica{std::move(replica)},
      m_identity{std::move(identity)}, m_limits{limits}, m_timer{m_context.loop()} {}

void links::start() {
    m_inbox.receive(m_context.wrap([this](const links_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    check_links();
}

void links::close() noexcept {
    m_inbox.close();
    m_timer.cancel();
    m_links.clear();
}

void links::handle(const members_changed& message) {
    std::set<std::string> present;
    for (const auto& member : select_subset(message.members)) {
        present.insert(member.name);
        auto& target = m_links.try_emplace(member.name, m_limits.monitor).first->second;
        if (target.instance == member) {
            continue;
        }
        const bool moved = target.instance.address != member.address;
        target.instance = member;
        target.status.instance = member;
        if (moved) {
            mark_down(target);
            open(target);
        }
        // Tells the sidecar without delay whether its instance is leaving.
        ping(target, common::monotonic_clock::now());
        report_status(target);
    }
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        m_coordinator.send(link_removed{it->first});
        it = m_links.erase(it);
    }
}

std::vector<table_service::instance>
links::select_subset(const std::vector<table_service::instance>& members) const {
    std::map<std::string, std::vector<table_service::instance>> pools;
    for (const auto& it : members) {
        pools[it.pool].push_back(it);
    }
    std::vector<table_service::instance> chosen;
    for (const auto& [name, pool] : pools) {
        std::vector<policy::subset_member> candidates;
        candidates.reserve(pool.size());
        for (const auto& it : pool) {
            candidates.push_back({it.name, it.failure_domain});
        }
        for (const auto n : policy::choose_subset(m_identity.name, m_identity.failure_domain,
                                                  candidates, m_limits.subset_size)) {
            chosen.push_back(pool[n]);
        }
    }
    return chosen;
}

void links::handle(const announce_revision& message) {
    m_revision = message.revision;
    const auto now = common::monotonic_clock::now();
    for (auto& [name, target] : m_links) {
        ping(target, now);
    }
}

void links::handle(const seed_addresses& message) {
    if (!m_links.empty()) {
        return;
    }
    std::vector<table_service::instance> seeds;
    for (const auto& it : message.addresses) {
        // No request is routed to an instance without a pool.
        seeds.push_back({"seed:" + it, "", "", it, table_service::instance_state::live});
    }
    handle(members_changed{std::move(seeds)});
}

void links::handle(const revision_query& message) const {
    boost::json::array sidecars;
    for (const auto& [name, it] : m_links) {
        sidecars.push_back(
            boost::json::object{{"name", name}, {"up", it.status.up}, {"revision", it.revision}});
    }
    const boost::json::object body{
        {"name", m_identity.name}, {"revision", m_revision}, {"sidecars", std::move(sidecars)}};
    message.reply.respond(http::json_response(200, boost::json::serialize(body) + "\n"));
}

void links::handle(const send_work& message) {
    const auto it = m_links.find(message.instance);
    if (const auto* work = std::get_if<protocol::dispatch>(&message.content)) {
        if (it == m_links.end()) {
            m_coordinator.send(work_not_sent{message.instance, work->identity});
        } else {
            dispatch(it->second, *work);
        }
        return;
    }
    if (it != m_links.end() && it->second.status.up) {
        it->second.socket->send(wire::encode(message.content));
    }
}

void links::dispatch(link& target, const protocol::dispatch& message) {
    const auto now = common::monotonic_clock::now();
    const bool ready = message.idempotent ? target.monitor.heard_recently(now)
                                          : target.monitor.answered_recently(now);
    if (ready || !target.status.up) {
        send_dispatch(target, message);
        return;
    }
    target.waiting.push_back({message, now});
    ping(target, now);
}

void links::send_dispatch(link& target, const protocol::dispatch& message) {
    const bool usable =
        target.status.up && message.identity.incarnation == target.status.incarnation;
    if (usable && target.socket->send(wire::encode(message))) {
        target.in_progress.insert(message.identity);
        return;
    }
    m_coordinator.send(work_not_sent{target.instance.name, message.identity});
}

void links::send_waiting(link& target) {
    for (const auto& it : std::exchange(target.waiting, {})) {
        send_dispatch(target, it.content);
    }
}

void links::return_waiting(link& target, common::time_point sent_before) {
    while (!target.waiting.empty() && target.waiting.front().since <= sent_before) {
        m_coordinator.send(
            work_not_sent{target.instance.name, target.waiting.front().content.identity});
        target.waiting.pop_front();
    }
}

void links::open(link& target) {
    const auto name = target.instance.name;
    target.socket.reset();
    target.unanswered.clear();
    target.monitor.opened(common::monotonic_clock::now());
    try {
        target.socket = std::make_unique<wire::dealer>(
            m_context, target.instance.address,
            m_context.wrap([this, name](const std::string& bytes) { received(name, bytes); }));
    } catch (const common::network_error& e) {
        m_log.warn("Cannot open the link.", {{"instance", name}, {"reason", e.what()}});
    }
}

void links::check_links() {
    const auto now = common::monotonic_clock::now();
    for (auto& [name, target] : m_links) {
        check_link(target, now);
    }
    m_timer.start(m_limits.monitor.active_interval, m_context.wrap([this] { check_links(); }));
}

void links::check_link(link& target, common::time_point now) {
    return_waiting(target, now - m_limits.verification_timeout);
    const bool active = !target.in_progress.empty() || !target.waiting.empty();
    switch (target.monitor.next_action(now, active)) {
    case policy::link_action::none:
        return;
    case policy::link_action::replace:
        // A connection may stay silent forever while new connections to the same sidecar work.
        mark_down(target);
        ++target.replacements;
        open(target);
        break;
    case policy::link_action::send_heartbeat:
        break;
    }
    ping(target, now);
}

void links::ping(link& target, common::time_point now) {
    if (!target.socket) {
        return;
    }
    while (!target.unanswered.empty() &&
           now - target.unanswered.front().sent > m_limits.monitor.silence_limit) {
        target.unanswered.pop_front();
    }
    const bool leaving = target.instance.state == table_service::instance_state::leaving;
    const auto bytes =
        wire::encode(protocol::ping{m_identity.name, m_next_nonce, m_revision, leaving});
    // A heartbeat without a connected peer also counts as sent, so that its missing response takes
    // the link down.
    target.monitor.heartbeat_sent(now);
    if (target.socket->send(bytes)) {
        target.unanswered.push_back({m_next_nonce++, now});
        m_heartbeat_bytes += bytes.size();
    }
}

void links::received(const std::string& instance, const std::string& bytes) {
    const auto it = m_links.find(instance);
    if (it == m_links.end()) {
        return;
    }
    try {
        const auto message = wire::decode(bytes);
        if (const auto* pong = std::get_if<protocol::pong>(&message)) {
            m_heartbeat_bytes += bytes.size();
            pong_received(it->second, *pong);
            return;
        }
        work_received(it->second, message);
        forward(instance, message);
    } catch (const common::format_error& e) {
        m_log.warn("Dropped a message.", {{"instance", instance}, {"reason", e.what()}});
    }
}

void links::work_received(link& target, const protocol::message& message) {
    target.monitor.message_received(common::monotonic_clock::now());
    if (const auto* end = std::get_if<protocol::result_end>(&message)) {
        target.in_progress.erase(end->identity);
        if (end->load) {
            target.status.load = *end->load;
            report_status(target);
        }
    } else if (const auto* refusal = std::get_if<protocol::refusal>(&message)) {
        target.in_progress.erase(refusal->identity);
    } else if (const auto* cancelled = std::get_if<protocol::cancelled>(&message)) {
        target.in_progress.erase(cancelled->identity);
    }
}

void links::forward(const std::string& instance, const protocol::message& message) {
    if (const auto* fetch = std::get_if<protocol::configuration_fetch>(&message)) {
        m_replica.send(tickets::peer_fetch{instance, *fetch});
    } else if (const auto* state = std::get_if<protocol::configuration_state>(&message)) {
        m_replica.send(tickets::peer_state{instance, *state});
    } else {
        m_coordinator.send(work_message{instance, message});
    }
}

void links::pong_received(link& target, const protocol::pong& pong) {
    const auto now = common::monotonic_clock::now();
    auto& unanswered = target.unanswered;
    const auto answered = std::find_if(unanswered.begin(), unanswered.end(),
                                       [&](const auto& it) { return it.nonce == pong.nonce; });
    // A response to a heartbeat that was sent longer ago than the silence limit, for example
    // because one of the processes was stopped, says nothing about the link. Its clock offset would
    // make deadlines much too early.
    if (answered == unanswered.end() || now - answered->sent > m_limits.monitor.silence_limit) {
        return;
    }
    unanswered.erase(unanswered.begin(), std::next(answered));
    target.monitor.heartbeat_answered(now);
    auto& status = target.status;
    status.up = true;
    status.incarnation = pong.incarnation;
    status.draining = pong.draining;
    // The sidecar read its clock before now, so a deadline translated with this offset is never
    // later than the actual deadline.
    status.clock_offset_us = pong.clock_us - common::to_microseconds(now);
    status.load = pong.load;
    status.connection = pong.connection;
    report_status(target);
    target.revision = pong.revision;
    if (pong.revision > m_revision) {
        m_replica.send(tickets::peer_revision{target.instance.name, pong.revision});
    }
    send_waiting(target);
}

void links::mark_down(link& target) {
    target.in_progress.clear();
    return_waiting(target, common::monotonic_clock::now());
    if (!std::exchange(target.status.up, false)) {
        return;
    }
    m_log.warn("Link is down.", {{"instance", target.instance.name}});
    report_status(target);
}

void links::report_status(const link& target) {
    if (!target.instance.pool.empty()) {
        m_coordinator.send(target.status);
    }
}

boost::json::value links::dump() const {
    boost::json::object entries;
    for (const auto& [name, it] : m_links) {
        entries[name] = boost::json::object{
            {"address", it.instance.address},       {"up", it.status.up},
            {"in_progress", it.in_progress.size()}, {"revision", it.revision},
            {"incarnation", it.status.incarnation}, {"clock_offset_us", it.status.clock_offset_us},
            {"replacements", it.replacements}};
    }
    return boost::json::object{{"revision", m_revision},
                               {"heartbeat_bytes", m_heartbeat_bytes},
                               {"links", std::move(entries)}};
}

} // namespace jujubemast::entry
