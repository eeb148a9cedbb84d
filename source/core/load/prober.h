#pragma once

#include <memory>
#include <vector>

#include "http/client.h"
#include "load/messages.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::load {

/// Polls the readiness of every entry, as the platform's load balancer does, and reports the
/// results to the sender.
class prober final : public runtime::task {
public:
    prober(runtime::task_context context, const std::vector<http::endpoint>& entries,
           runtime::address<sender_message> sender);

    void start() override;
    void close() noexcept override;

private:
    void probe();
    void probe_completed(std::size_t entry, bool ready);

    runtime::task_context m_context;
    runtime::address<sender_message> m_sender;
    runtime::timer m_timer;
    std::vector<std::unique_ptr<http::client>> m_clients;
    std::vector<bool> m_probe_in_progress;
};

} // namespace jujubemast::load
