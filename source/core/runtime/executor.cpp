#include "runtime/executor.h"

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

    boost::asio::steady_timer waiter;
};

timer::timer(const executor& loop)
    : m_implementation{std::make_unique<implementation>(loop.context())} {}

timer::~timer() = default;

void timer::start(common::duration delay, std::function<void()> handler) {
    m_implementation->waiter.expires_after(delay);
    m_implementation->waiter.async_wait(
        [handler = std::move(handler)](const boost::system::error_code& ec) {
            if (!ec) {
                handler();
            }
        });
}

void timer::cancel() {
    m_implementation->waiter.cancel();
}

} // namespace jujubemast::runtime
