#include "gateway/store/registration.h"

#include <utility>

#include "http/call_failure.h"

namespace jujubemast::gateway::store {

namespace {

constexpr unsigned status_ok = 200;
constexpr common::duration retry_delay = std::chrono::seconds{1};
// A call that the store has not answered for this long, although it answers others, was lost.
constexpr common::duration lost_call_time = std::chrono::milliseconds{100};

bool has_succeeded(const http::call_result& result) {
    const auto* response = std::get_if<http::response>(&result);
    return response != nullptr && response->status == status_ok;
}

} // namespace

registration::registration(const runtime::task_context& context, http::client& client,
                           std::shared_ptr<const adapter> platform_adapter, gateway_record self,
                           std::function<void(std::uint64_t era)> on_era)
    : m_context{context}, m_client{client}, m_adapter{std::move(platform_adapter)},
      m_self{std::move(self)}, m_on_era{std::move(on_era)}, m_retry_timer{context.loop()} {}

void registration::begin() {
    m_sent = common::monotonic_clock::now();
    m_call = m_client.send(m_adapter->encode_register(m_self),
                           [this](const http::call_result& result) { call_ended(result); });
}

void registration::call_ended(const http::call_result& result) {
    m_call.reset();
    m_registered = has_succeeded(result);
    m_log.info(m_registered ? "Registered." : "Could not register; will retry.",
               {{"gateway", m_self.name},
                {"address", m_self.address},
                {"reason", m_registered ? "" : http::describe_failure(result)}});
    if (!m_registered) {
        m_retry_timer.start(retry_delay, m_context.wrap([this] { begin(); }));
    }
    const auto* response = std::get_if<http::response>(&result);
    if (response == nullptr || !m_on_era || !m_adapter->decode_store_era) {
        return;
    }
    if (const auto era = m_adapter->decode_store_era(*response)) {
        m_on_era(*era);
    }
}

void registration::hasten() {
    if (m_registered || m_ending || common::monotonic_clock::now() - m_sent < lost_call_time) {
        return;
    }
    if (const auto lost = std::exchange(m_call, {})) {
        m_client.cancel(*lost);
    }
    m_retry_timer.cancel();
    begin();
}

void registration::check(const gateway_record* stored) {
    if (!m_registered || (stored != nullptr && *stored == m_self)) {
        return;
    }
    // The store may apply a call from the previous run of this gateway late, after that call's
    // response was lost.
    m_log.warn("The row of this gateway was removed or replaced.", {{"gateway", m_self.name}});
    m_registered = false;
    begin();
}

void registration::end(const runtime::stop_done& done) {
    m_registered = false;
    m_ending = true;
    m_retry_timer.cancel();
    m_client.send(
        m_adapter->encode_unregister(m_self.name), [this, done](const http::call_result& result) {
            if (!has_succeeded(result)) {
                // The row remains in the store. The other gateways notice that this one
                // no longer sends pings.
                m_log.info("Could not unregister.",
                           {{"gateway", m_self.name}, {"reason", http::describe_failure(result)}});
            }
            done();
        });
}

} // namespace jujubemast::gateway::store
