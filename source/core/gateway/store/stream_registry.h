#pragma once

#include <cstddef>
#include <memory>

#include "common/random.h"
#include "gateway/adapter.h"
#include "gateway/messages.h"
#include "gateway/store/store_session.h"
#include "gateway/store/stream_finder.h"
#include "gateway/store/stream_writer.h"
#include "gateway/store/version_lists.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::gateway::store {

/// Keeps in the platform's store which software version began each stream that can be resumed, so
/// that every gateway can find it, also after the one that began the stream has ended. While a
/// service has one version, only the list of its versions is kept, and no stream is recorded.
class stream_registry final : public runtime::task {
public:
    stream_registry(runtime::task_context context,
                    std::shared_ptr<runtime::mailbox<stream_registry_message>> inbox,
                    runtime::address<forwarder_message> forwarder, http::endpoint store,
                    const std::shared_ptr<const adapter>& platform_adapter,
                    common::random_hook random);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void handle(const discovery_update& message);
    void handle(const upstreams_confirmed& message);
    void handle(const record_stream& message);
    void handle(const find_stream& message);
    /// Sends the lists to the forwarder, and again after the check interval.
    void publish_lists();
    void check_later();

    runtime::task_context m_context;
    runtime::inbox<stream_registry_message> m_inbox;
    runtime::address<forwarder_message> m_forwarder;
    store_session m_session;
    version_lists m_lists;
    stream_writer m_writer;
    stream_finder m_finder;
    std::size_t m_restores = 0;
    /// The lists as last sent to the forwarder.
    std::map<std::string, usable_versions> m_published;
    runtime::timer m_check_timer;
};

} // namespace jujubemast::gateway::store
