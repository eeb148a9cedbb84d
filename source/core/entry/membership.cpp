#include "entry/membership.h"

#include <utility>

#include <boost/json.hpp>

namespace jujubemast::entry {

membership::membership(runtime::task_context context, const http::endpoint& platform,
                       common::duration interval, std::vector<std::string> seeds,
                       runtime::address<links_message> links)
    : m_context{std::move(context)}, m_store{m_context,
                                             platform,
                                             {.head_timeout = std::chrono::seconds{2},
                                              .progress_timeout = std::chrono::seconds{2}}},
      m_interval{interval}, m_seeds{std::move(seeds)}, m_links{std::move(links)},
      m_timer{m_context.loop()} {}

void membership::start() {
    m_links.send(seed_addresses{m_seeds});
    poll();
}

void membership::close() noexcept {
    m_timer.cancel();
    m_store.close();
}

void membership::poll() {
    ++m_polls;
    m_store.read_members([this](std::optional<std::vector<table_service::instance>> members) {
        members_received(std::move(members));
    });
}

void membership::members_received(std::optional<std::vector<table_service::instance>> members) {
    if (members) {
        m_members = members->size();
        m_links.send(members_changed{std::move(*members)});
    } else {
        ++m_failed_polls;
    }
    m_timer.start(m_interval, m_context.wrap([this] { poll(); }));
}

boost::json::value membership::dump() const {
    return boost::json::object{
        {"polls", m_polls}, {"failed_polls", m_failed_polls}, {"members", m_members}};
}

} // namespace jujubemast::entry
