#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entry/messages.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "table_service/store.h"

namespace jujubemast::entry {

/// Task that polls the platform's membership list and sends it to the links. While the platform
/// does not respond, the last list stays in use. The seed addresses from the settings are used
/// until the first list arrives.
class membership final : public runtime::task {
public:
    membership(runtime::task_context context, const http::endpoint& platform,
               common::duration interval, std::vector<std::string> seeds,
               runtime::address<links_message> links);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void poll();
    void members_received(std::optional<std::vector<table_service::instance>> members);

    runtime::task_context m_context;
    table_service::store m_store;
    common::duration m_interval;
    std::vector<std::string> m_seeds;
    runtime::address<links_message> m_links;
    runtime::timer m_timer;
    std::uint64_t m_polls = 0;
    std::uint64_t m_failed_polls = 0;
    std::size_t m_members = 0;
};

} // namespace jujubemast::entry
