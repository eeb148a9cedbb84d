#include <utility>

#include "gateway/stages/dispatcher.h"
#include "http/call_failure.h"

// Releases results that are no longer needed.

namespace jujubemast::gateway::stages {

namespace {

// Handles are collected for this long, so that one call releases several results.
constexpr common::duration release_delay = std::chrono::milliseconds{20};
// Results that are not released by then expire soon after.
constexpr common::duration release_limit = std::chrono::seconds{2};
constexpr std::size_t max_release_response_bytes = std::size_t{64} * 1024;

} // namespace

void dispatcher::queue_release(const std::string& service,
                               const std::vector<std::string>& handles) {
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    for (const auto& handle : handles) {
        const auto instance_address = handle.substr(0, handle.find('/'));
        for (auto& [id, it] : found->second.instances) {
            if (http::to_string(it->identity.address) == instance_address) {
                it->to_release.push_back(handle);
                schedule_release();
                break;
            }
        }
    }
}

void dispatcher::schedule_release() {
    if (m_release_scheduled) {
        return;
    }
    m_release_scheduled = true;
    m_release_timer.start(release_delay, m_context.wrap([this] {
        m_release_scheduled = false;
        send_releases();
    }));
}

void dispatcher::send_releases() {
    for (auto& [name, service] : m_services) {
        for (auto& [id, it] : service.instances) {
            // While the instance pauses, the handles are kept for a later call.
            if (it->to_release.empty() || !it->state.accepts_calls()) {
                continue;
            }
            auto handles = std::exchange(it->to_release, {});
            const auto message = m_adapter->encode_release(id, handles);
            it->client->send(
                message,
                [this, name = name, instance = it,
                 handles = std::move(handles)](const http::call_result& result) {
                    release_finished(name, *instance, handles, result);
                },
                {.total_timeout = release_limit, .max_body_bytes = max_release_response_bytes});
        }
    }
}

void dispatcher::release_finished(const std::string& service, stage_instance& instance,
                                  const std::vector<std::string>& handles,
                                  const http::call_result& result) {
    const auto* response = std::get_if<http::response>(&result);
    if (response != nullptr) {
        notice_received(service, instance,
                        m_adapter->decode_response_head(response->status, response->fields));
    }
    if (response == nullptr || response->status != 200) {
        // The results expire at the end of their lifetime.
        m_log.info("Could not release results.", {{"upstream", instance.identity.id},
                                                  {"reason", http::describe_failure(result)}});
        return;
    }
    for (const auto& it : handles) {
        instance.memory.release(it);
    }
    dispatch(service);
}

} // namespace jujubemast::gateway::stages
