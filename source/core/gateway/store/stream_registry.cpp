#include "gateway/store/stream_registry.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <boost/json.hpp>

namespace jujubemast::gateway::store {

namespace {

// How often the lists are checked for versions that have left, and published again.
constexpr common::duration check_interval = std::chrono::seconds{5};
// The same while a list is not complete.
constexpr common::duration incomplete_check_interval = std::chrono::milliseconds{500};

/// Returns the services that begin streams which can be resumed.
std::set<std::string> resumable_services(const configuration& config) {
    std::set<std::string> result;
    for (const auto& it : config.routes) {
        if (!it.resumable || it.kind != repeatability::stream) {
            continue;
        }
        for (const auto& weighted : it.services) {
            result.insert(weighted.service);
        }
    }
    return result;
}

} // namespace

stream_registry::stream_registry(runtime::task_context context,
                                 std::shared_ptr<runtime::mailbox<stream_registry_message>> inbox,
                                 runtime::address<forwarder_message> forwarder,
                                 http::endpoint store,
                                 const std::shared_ptr<const adapter>& platform_adapter,
                                 common::random_hook random)
    : m_context{std::move(context)}, m_inbox{std::move(inbox)},
      m_forwarder{std::move(forwarder)}, m_session{m_context, std::move(store), platform_adapter},
      m_lists{m_context, m_session, platform_adapter, std::move(random),
              [this] { publish_lists(); }},
      m_writer{m_context, m_session, platform_adapter},
      m_finder{m_context, m_session, platform_adapter}, m_check_timer{m_context.loop()} {}

void stream_registry::start() {
    m_inbox.receive(m_context.wrap([this](const stream_registry_message& message) {
        std::visit([this](const auto& it) { handle(it); }, message);
    }));
    check_later();
}

void stream_registry::close() noexcept {
    m_inbox.close();
    m_check_timer.cancel();
    m_session.close();
    m_lists.close();
    m_writer.close();
    m_finder.close();
}

void stream_registry::check_later() {
    const bool all_complete = std::all_of(m_published.begin(), m_published.end(),
                                          [](const auto& it) { return it.second.is_complete; });
    const auto interval = all_complete ? check_interval : incomplete_check_interval;
    m_check_timer.start(interval, m_context.wrap([this] {
        m_lists.check();
        // An earlier message may not have been accepted, and lists become complete with time.
        publish_lists();
    }));
}

void stream_registry::handle(const discovery_update& message) {
    if (std::exchange(m_restores, message.store_restores) != message.store_restores) {
        m_lists.invalidate();
    }
    if (message.configuration && message.upstreams) {
        m_lists.set_instances(resumable_services(*message.configuration), *message.upstreams);
    }
    // The forwarder may have been restarted.
    publish_lists();
}

void stream_registry::handle(const upstreams_confirmed& message) {
    m_lists.confirm_instances(message.at);
}

void stream_registry::handle(const record_stream& message) {
    m_writer.record({message.stream, message.version},
                    [this, request = message.request](record_outcome outcome) {
                        m_forwarder.send(stream_recorded{request, outcome});
                    });
}

void stream_registry::handle(const find_stream& message) {
    m_finder.find(message.stream, [this, request = message.request](const find_result& result) {
        m_forwarder.send(stream_found{request, result.outcome, result.version});
    });
}

void stream_registry::publish_lists() {
    m_published = m_lists.listed();
    m_forwarder.send(stream_versions_changed{m_published});
    check_later();
}

boost::json::value stream_registry::dump() const {
    boost::json::object lists;
    boost::json::array incomplete;
    for (const auto& [service, usable] : m_published) {
        boost::json::array names;
        for (const auto& it : usable.versions) {
            names.emplace_back(it);
        }
        lists[service] = std::move(names);
        if (!usable.is_complete) {
            incomplete.emplace_back(service);
        }
    }
    return boost::json::object{{"store_era", m_session.era()},
                               {"listed_versions", std::move(lists)},
                               {"incomplete_lists", std::move(incomplete)},
                               {"unwritten_streams", m_writer.waiting()},
                               {"searches", m_finder.searches()}};
}

} // namespace jujubemast::gateway::store
