#include "gateway/store/version_lists.h"

#include <algorithm>
#include <utility>

#include "common/error.h"

namespace jujubemast::gateway::store {

namespace {

constexpr common::duration call_timeout = std::chrono::milliseconds{800};
// All gateways read a list when a new version appears, so they repeat failed calls at different
// times.
constexpr std::chrono::milliseconds min_retry_delay{150};
constexpr std::uint64_t retry_spread_ms = 200;
// Older knowledge of the instances may lack one that has appeared since.
constexpr common::duration max_instances_age = std::chrono::seconds{3};

std::string to_text(const std::set<std::string>& versions) {
    std::string result;
    for (const auto& it : versions) {
        result += (result.empty() ? "" : " ") + it;
    }
    return result;
}

} // namespace

version_lists::version_lists(const runtime::task_context& context, store_session& session,
                             std::shared_ptr<const adapter> platform_adapter,
                             common::random_hook random, std::function<void()> on_change)
    : m_context{context}, m_session{session}, m_adapter{std::move(platform_adapter)},
      m_random{std::move(random)}, m_on_change{std::move(on_change)} {}

void version_lists::set_instances(const std::set<std::string>& services,
                                  const upstream_map& known) {
    const auto now = common::monotonic_clock::now();
    std::map<std::string, std::set<std::string>> versions;
    for (const auto& [id, it] : known) {
        versions[it.service].insert(it.version);
    }
    for (const auto& service : services) {
        m_services[service].list.record_instances(versions[service], now);
    }
    check();
}

void version_lists::invalidate() {
    for (auto& [service, state] : m_services) {
        state.list.invalidate();
    }
}

bool version_lists::are_instances_confirmed(common::time_point now) const {
    return m_confirmed && now - *m_confirmed < max_instances_age;
}

void version_lists::check() {
    const auto now = common::monotonic_clock::now();
    for (auto& [service, state] : m_services) {
        if (!state.call_in_progress && state.list.needs_read(now, are_instances_confirmed(now))) {
            read(service);
        }
    }
}

void version_lists::read(const std::string& service) {
    m_services.at(service).call_in_progress = true;
    m_session.read(m_adapter->encode_versions_read(service), call_timeout,
                   [this, service](const store_response& it) { list_read(service, it); });
}

void version_lists::list_read(const std::string& service, const store_response& response) {
    if (response.outcome != store_outcome::done) {
        call_failed(service, response);
        return;
    }
    auto& state = m_services.at(service);
    version_row row{{}, m_session.era(), response.content.now_ms.value_or(0)};
    std::uint64_t expected = 0;
    for (const auto& it : response.content.rows) {
        try {
            row.listed = m_adapter->decode_versions(service, it);
        } catch (const common::format_error& e) {
            m_log.error("Could not decode the list of software versions; writing it again.",
                        {{"service", service}, {"reason", e.what()}});
            // Nothing shows which versions it has had.
            row.listed = listed_versions{};
        }
        if (row.listed) {
            expected = it.version;
            break;
        }
    }
    const auto now = common::monotonic_clock::now();
    state.list.record_row(row, now);
    if (const auto next = state.list.next_row(row, now, are_instances_confirmed(now))) {
        write(service, *next, expected);
        return;
    }
    state.call_in_progress = false;
    m_on_change();
}

void version_lists::write(const std::string& service, const listed_versions& next,
                          std::uint64_t expected) {
    m_session.write(
        m_adapter->encode_versions_write(service, next, expected), call_timeout,
        [this, service, next](const store_response& response) {
            if (response.outcome != store_outcome::done) {
                call_failed(service, response);
                return;
            }
            auto& state = m_services.at(service);
            state.call_in_progress = false;
            const auto now = common::monotonic_clock::now();
            state.list.record_write({next, m_session.era(), m_session.store_time_ms(now)}, now);
            m_log.info("Software versions listed.",
                       {{"service", service}, {"versions", to_text(next.versions)}});
            m_on_change();
        });
}

void version_lists::call_failed(const std::string& service, const store_response& response) {
    m_log.info("Could not update the list of software versions; will retry.",
               {{"service", service},
                {"outcome", std::string{common::to_name(response.outcome)}},
                {"reason", response.detail}});
    auto& state = m_services.at(service);
    if (!state.retry_timer) {
        state.retry_timer = std::make_unique<runtime::timer>(m_context.loop());
    }
    const std::chrono::milliseconds spread{common::uniform_below(m_random, retry_spread_ms)};
    state.retry_timer->start(min_retry_delay + spread, m_context.wrap([this, service] {
        m_services.at(service).call_in_progress = false;
        check();
    }));
}

std::map<std::string, usable_versions> version_lists::listed() const {
    const auto now = common::monotonic_clock::now();
    std::map<std::string, usable_versions> result;
    for (const auto& [service, state] : m_services) {
        if (state.list.is_known()) {
            result.emplace(service,
                           usable_versions{state.list.listed(), state.list.is_complete(now)});
        }
    }
    return result;
}

} // namespace jujubemast::gateway::store
