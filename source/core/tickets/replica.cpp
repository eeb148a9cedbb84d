#include "tickets/replica.h"

#include <utility>

#include <boost/json.hpp>

#include "common/error.h"
#include "tickets/acceptance.h"
#include "tickets/schema.h"

namespace jujubemast::tickets {

replica::replica(runtime::task_context context, replica_options options, publish_hook publish)
    : m_context{std::move(context)}, m_options{std::move(options)}, m_publish{std::move(publish)},
      m_store{
          m_context,
          m_options.platform,
          {.head_timeout = std::chrono::seconds{2}, .progress_timeout = std::chrono::seconds{2}}},
      m_timer{m_context.loop()} {}

void replica::start() {
    poll();
}

void replica::close() noexcept {
    m_timer.cancel();
    m_store.close();
}

void replica::wait() {
    // Jitter keeps the processes from reading the head row at the same moment.
    const auto percent = 50 + static_cast<int>(common::uniform_below(m_options.random, 101));
    m_timer.start(m_options.poll_interval * percent / 100, m_context.wrap([this] { poll(); }));
}

void replica::poll() {
    ++m_polls;
    m_store.read({head_table, head_key},
                 [this](const platform::rows_result& result) { head_received(result); });
}

void replica::head_received(const platform::rows_result& result) {
    if (result.status != platform::store_status::done) {
        ++m_failed_polls;
        wait();
        return;
    }
    const auto* head = result.rows.front().value.if_object();
    if (head == nullptr) {
        wait();
        return;
    }
    const auto revision = head->at("revision").to_number<std::uint64_t>();
    if (m_current && revision <= m_current->revision) {
        wait();
        return;
    }
    read_objects(revision, head->at("digest").to_number<std::uint64_t>());
}

void replica::read_objects(std::uint64_t revision, std::uint64_t digest) {
    m_store.scan(objects_table, "", [this, revision, digest](const platform::rows_result& result) {
        objects_received(revision, digest, result);
    });
}

void replica::objects_received(std::uint64_t revision, std::uint64_t digest,
                               const platform::rows_result& result) {
    if (result.status != platform::store_status::done) {
        ++m_failed_polls;
        wait();
        return;
    }
    const auto objects = states_of(result.rows);
    // A ticket accepted between the two reads shows as another digest; the next poll reads again.
    if (digest_of(objects) == digest) {
        try {
            m_current =
                std::make_shared<const configuration>(parse_configuration(revision, objects));
            m_log.info("Configuration in force.", {{"revision", std::to_string(revision)},
                                                   {"digest", std::to_string(digest)}});
            m_publish(m_current);
        } catch (const common::format_error& e) {
            m_log.error("Configuration not applied.",
                        {{"revision", std::to_string(revision)}, {"reason", e.what()}});
        }
    }
    wait();
}

boost::json::value replica::dump() const {
    return boost::json::object{{"revision", m_current ? m_current->revision : 0},
                               {"digest", m_current ? m_current->digest : 0},
                               {"polls", m_polls},
                               {"failed_polls", m_failed_polls}};
}

} // namespace jujubemast::tickets
