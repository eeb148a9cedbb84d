#pragma once

#include <functional>

#include "common/random.h"
#include "logging/logger.h"
#include "platform/store.h"
#include "runtime/task.h"
#include "tickets/configuration.h"

namespace jujubemast::tickets {

/// Called with each configuration that replaces an older one.
using publish_hook = std::function<void(configuration_pointer)>;

struct replica_options {
    http::endpoint platform;
    /// Average time between two reads of the head row; each wait is drawn from 50% to 150% of it.
    common::duration poll_interval = std::chrono::milliseconds{500};
    common::random_hook random = common::system_random();
};

/// Keeps the configuration in force: polls the head row and reads all objects when its revision is
/// higher than the one held. Never goes back to a lower revision.
class replica final : public runtime::task {
public:
    replica(runtime::task_context context, replica_options options, publish_hook publish);

    void start() override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void poll();
    void head_received(const platform::rows_result& result);
    void read_objects(std::uint64_t revision, std::uint64_t digest);
    void objects_received(std::uint64_t revision, std::uint64_t digest,
                          const platform::rows_result& result);
    void wait();

    runtime::task_context m_context;
    replica_options m_options;
    publish_hook m_publish;
    platform::store m_store;
    runtime::timer m_timer;
    logging::logger m_log{"replica"};
    configuration_pointer m_current;
    std::uint64_t m_polls = 0;
    std::uint64_t m_failed_polls = 0;
};

} // namespace jujubemast::tickets
