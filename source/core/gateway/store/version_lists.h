#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/random.h"
#include "gateway/adapter.h"
#include "gateway/store/store_session.h"
#include "gateway/store/version_list.h"
#include "gateway/upstream_list.h"
#include "logging/logger.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Keeps the lists of software versions in the store up to date. Each list is read when it may have
/// to change, and written under the condition that it has not changed since. Belongs to one task.
class version_lists {
public:
    /// `on_change` is called when a list has been read or written.
    version_lists(const runtime::task_context& context, store_session& session,
                  std::shared_ptr<const adapter> platform_adapter, common::random_hook random,
                  std::function<void()> on_change);

    /// Sets the services whose streams can be resumed, and the known instances.
    void set_instances(const std::set<std::string>& services, const upstream_map& known);

    /// The known instances were the newest at a time.
    void confirm_instances(common::time_point at) { m_confirmed = at; }

    /// The store was restored from an older copy.
    void invalidate();

    /// Reads the lists that may have to change.
    void check();

    void close() noexcept { m_services.clear(); }

    /// The listed versions of the services whose list is known.
    [[nodiscard]] std::map<std::string, usable_versions> listed() const;

private:
    struct service_state {
        version_list list;
        bool call_in_progress = false;
        std::unique_ptr<runtime::timer> retry_timer;
    };

    void read(const std::string& service);
    void list_read(const std::string& service, const store_response& response);
    void write(const std::string& service, const listed_versions& next, std::uint64_t expected);
    void call_failed(const std::string& service, const store_response& response);
    [[nodiscard]] bool are_instances_confirmed(common::time_point now) const;

    runtime::task_context m_context;
    store_session& m_session;
    std::shared_ptr<const adapter> m_adapter;
    common::random_hook m_random;
    std::function<void()> m_on_change;
    std::map<std::string, service_state> m_services;
    std::optional<common::time_point> m_confirmed;
    logging::logger m_log{"streams"};
};

} // namespace jujubemast::gateway::store
