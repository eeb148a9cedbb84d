#include "tickets/replica.h"

#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/object_record.h"
#include "tickets/schema.h"

namespace jujubemast::tickets {

namespace {

// The startup wait and the lag limit can expire without a message, so readiness is checked by
// timer.
constexpr std::chrono::milliseconds readiness_check_interval{250};

} // namespace

replica::replica(runtime::task_context context,
                 std::shared_ptr<runtime::mailbox<replica_message>> inbox,
                 std::shared_ptr<replica_state> state, replica_options options, replica_hooks hooks)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)}, m_state{std::move(state)},
      m_options{std::move(options)}, m_hooks{std::move(hooks)}, m_poll_timer{m_context.loop()},
      m_readiness_timer{m_context.loop()} {
    if (m_options.platform) {
        const http::client_limits limits{.head_timeout = std::chrono::seconds{2},
                                         .progress_timeout = std::chrono::seconds{2},
                                         .total_timeout = std::chrono::seconds{10}};
        m_store = std::make_unique<table_service::store>(m_context, *m_options.platform, limits);
    }
}

void replica::start() {
    m_inbox.receive(m_context.wrap([this](const replica_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    if (m_state->local_snapshot()) {
        m_hooks.announce(m_state->local_revision());
        m_state->request_republish();
    }
    update_readiness();
    if (m_store) {
        poll();
    }
}

void replica::close() noexcept {
    m_inbox.close();
    m_poll_timer.cancel();
    m_readiness_timer.cancel();
    if (m_store) {
        m_store->close();
    }
}

void replica::handle(const peer_revision& message) {
    if (m_state->on_peer_revision(message.revision, common::monotonic_clock::now())) {
        ++m_fetches_sent;
        m_hooks.send(message.peer, protocol::configuration_fetch{m_state->local_revision()});
    }
    update_readiness();
}

void replica::handle(const peer_fetch& message) {
    const auto& local = m_state->local_snapshot();
    if (!local || local->revision() <= message.content.revision) {
        return;
    }
    ++m_documents_sent;
    m_hooks.send(message.peer, protocol::configuration_state{local->revision(), local->digest(),
                                                             local->document});
}

void replica::handle(const peer_state& message) {
    const auto& state = message.content;
    if (state.revision <= m_state->local_revision()) {
        return;
    }
    install("peer", [&] { return parse_snapshot(state.revision, state.digest, state.document); });
}

void replica::schedule_poll() {
    // The jitter keeps processes from reading the head row at the same time.
    const auto percent = 50 + static_cast<int>(common::uniform_below(m_options.random, 101));
    m_poll_timer.start(m_options.poll_interval * percent / 100, m_context.wrap([this] { poll(); }));
}

void replica::poll() {
    ++m_polls;
    m_store->read({head_table, head_key},
                  [this](const table_service::rows_result& result) { head_received(result); });
}

void replica::head_received(const table_service::rows_result& result) {
    if (result.status != table_service::store_status::done) {
        ++m_failed_polls;
        schedule_poll();
        return;
    }
    const auto* head = result.rows.front().value.if_object();
    const auto revision = head == nullptr ? 0 : head->at("revision").to_number<std::uint64_t>();
    const bool newer = m_state->on_store_revision(revision, common::monotonic_clock::now());
    update_readiness();
    if (!newer) {
        schedule_poll();
        return;
    }
    m_store->scan(objects_table, "",
                  [this, revision, digest = head->at("digest").to_number<std::uint64_t>()](
                      const table_service::rows_result& objects) {
                      objects_received(revision, digest, objects);
                  });
}

void replica::objects_received(std::uint64_t revision, std::uint64_t digest,
                               const table_service::rows_result& result) {
    schedule_poll();
    if (result.status != table_service::store_status::done) {
        ++m_failed_polls;
        return;
    }
    const auto objects = states_of(result.rows);
    // If a ticket was accepted between the two reads, the digest differs and the next poll reads
    // the objects again.
    if (digest_of(objects) == digest) {
        install("store", [&] { return make_snapshot(revision, objects); });
    }
}

void replica::install(const std::string& source, const std::function<snapshot_pointer()>& make) {
    try {
        if (m_state->install_if_newer(make(), common::monotonic_clock::now())) {
            m_log.info("Configuration received.",
                       {{"revision", std::to_string(m_state->local_revision())},
                        {"digest", std::to_string(m_state->local_snapshot()->digest())},
                        {"source", source}});
            m_hooks.announce(m_state->local_revision());
            update_readiness();
        }
    } catch (const common::format_error& e) {
        ++m_documents_rejected;
        m_log.error("Configuration not applied.", {{"source", source}, {"reason", e.what()}});
    }
}

void replica::update_readiness() {
    const auto now = common::monotonic_clock::now();
    if (const auto published = m_state->take_snapshot_to_publish(now)) {
        m_log.info("Configuration in force.",
                   {{"revision", std::to_string(published->revision())}});
        m_hooks.publish(published->content);
    }
    auto reason = m_state->not_ready_reason(now);
    if (m_not_ready_reason != reason) {
        m_hooks.set_not_ready_reason(reason);
        m_not_ready_reason = std::move(reason);
    }
    const bool pending = m_state->known_revision() > m_state->served_revision();
    if (pending) {
        m_readiness_timer.start(readiness_check_interval,
                                m_context.wrap([this] { update_readiness(); }));
    }
}

boost::json::value replica::dump() const {
    return boost::json::object{
        {"revision", m_state->local_revision()},
        {"digest", m_state->local_snapshot() ? m_state->local_snapshot()->digest() : 0},
        {"served_revision", m_state->served_revision()},
        {"known_revision", m_state->known_revision()},
        {"polls", m_polls},
        {"failed_polls", m_failed_polls},
        {"fetches_sent", m_fetches_sent},
        {"documents_sent", m_documents_sent},
        {"documents_rejected", m_documents_rejected}};
}

} // namespace jujubemast::tickets
