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
    explicit implementation(boost::asio::io_context& context) : waiter{context} {}

    ~implementation() { ++*wait_number; }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    boost::asio::steady_timer waiter;
    /// Changes with each wait and its cancellation. A handler that is queued already when its wait
    /// is cancelled finds another number.
    std::shared_ptr<std::uint64_t> wait_number = std::make_shared<std::uint64_t>(0);
};

timer::timer(const executor& loop)
    : m_implementation{std::make_unique<implementation>(loop.context())} {}

timer::~timer() = default;

void timer::start(common::duration delay, std::function<void()> handler) {
    const auto current = m_implementation->wait_number;
    m_implementation->waiter.expires_after(delay);
    m_implementation->waiter.async_wait([handler = std::move(handler), current,
                                         own = ++*current](const boost::system::error_code& ec) {
        if (!ec && *current == own) {
            handler();
        }
    });
}

void timer::cancel() {
    ++*m_implementation->wait_number;
    m_implementation->waiter.cancel();
}

} // namespace jujubemast::runtime
