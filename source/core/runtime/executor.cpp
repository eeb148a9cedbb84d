#include "runtime/executor.h"

#include <cstdint>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujubemast::runtime {

void executor::post(std::function<void()> function) const {
    boost::asio::post(*m_context, std::move(function));
}

struct timer::implementation {
    explicit implementation(boost::asio::io_context& context) : native_timer{context} {}

    ~implementation() { ++*generation; }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    boost::asio::steady_timer native_timer;
    /// Number of the latest wait, incremented when a wait starts and when it is cancelled. A
    /// completion handler that was already queued when its wait was cancelled finds a different
    /// number and does nothing.
    std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
};

timer::timer(const executor& loop)
    : m_implementation{std::make_unique<implementation>(loop.context())} {}

timer::~timer() = default;

void timer::start(common::duration delay, std::function<void()> handler) {
    const auto current_generation = m_implementation->generation;
    m_implementation->native_timer.expires_after(delay);
    m_implementation->native_timer.async_wait(
        [handler = std::move(handler), current_generation,
         started_generation = ++*current_generation](const boost::system::error_code& ec) {
            if (!ec && *current_generation == started_generation) {
                handler();
            }
        });
}

void timer::cancel() {
    ++*m_implementation->generation;
    m_implementation->native_timer.cancel();
}

} // namespace jujubemast::runtime
