#include "support/fault_proxy.h"

#include <array>
#include <future>
#include <list>
#include <memory>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "http/message.h"

namespace jujubemast::tests {

namespace {

using boost::asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t buffer_bytes = std::size_t{16} * 1024;

tcp::endpoint to_endpoint(const std::string& address) {
    const auto parsed = http::parse_endpoint(address);
    return {boost::asio::ip::make_address(parsed.host), parsed.port};
}

/// The faults in force; shared by all connections of a proxy.
struct faults {
    std::chrono::milliseconds delay{0};
    std::size_t bytes_per_second = 0;
    int answers_to_drop = 0;
};

/// A connection from a client and the one to the target.
class relay : public std::enable_shared_from_this<relay> {
public:
    relay(tcp::socket client, std::shared_ptr<faults> shared)
        : m_client{std::move(client)}, m_target{m_client.get_executor()}, m_faults{std::move(
                                                                              shared)},
          m_requests{m_client.get_executor()}, m_answers{m_client.get_executor()} {}

    void start(const tcp::endpoint& target) {
        m_target.async_connect(target, [self = shared_from_this()](const error_code& ec) {
            if (ec) {
                self->close();
                return;
            }
            error_code ignored;
            self->m_client.set_option(tcp::no_delay{true}, ignored);
            self->m_target.set_option(tcp::no_delay{true}, ignored);
            self->read(self->m_client, self->m_target, self->m_requests);
            self->read(self->m_target, self->m_client, self->m_answers);
        });
    }

    void stall() { m_stalled = true; }

    void close() {
        m_closed = true;
        for (auto* socket : {&m_client, &m_target}) {
            error_code ec;
            socket->set_option(boost::asio::socket_base::linger{true, 0}, ec);
            socket->close(ec);
        }
        m_requests.timer.cancel();
        m_answers.timer.cancel();
    }

    [[nodiscard]] bool closed() const { return m_closed; }

private:
    struct direction {
        explicit direction(const tcp::socket::executor_type& executor) : timer{executor} {}
        std::array<char, buffer_bytes> buffer{};
        boost::asio::steady_timer timer;
    };

    [[nodiscard]] bool passes() const { return !m_stalled && !m_closed; }

    void read(tcp::socket& from, tcp::socket& to, direction& way) {
        from.async_read_some(
            boost::asio::buffer(way.buffer), [this, self = shared_from_this(), &from, &to,
                                              &way](const error_code& ec, std::size_t size) {
                if (!passes()) {
                    return;
                }
                if (ec) {
                    shut_down(to, ec);
                    return;
                }
                if (&way == &m_answers && m_faults->answers_to_drop > 0) {
                    --m_faults->answers_to_drop;
                    close();
                    return;
                }
                after(way, m_faults->delay,
                      [this, &from, &to, &way, size] { write(from, to, way, size); });
            });
    }

    /// Passes an ordered end on; anything else closes both sides.
    void shut_down(tcp::socket& to, const error_code& ec) {
        if (ec != boost::asio::error::eof || std::exchange(m_one_ended, true)) {
            close();
            return;
        }
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void write(tcp::socket& from, tcp::socket& to, direction& way, std::size_t size) {
        boost::asio::async_write(
            to, boost::asio::buffer(way.buffer, size),
            [this, self = shared_from_this(), &from, &to, &way](const error_code& ec,
                                                                std::size_t written) {
                if (!passes()) {
                    return;
                }
                if (ec) {
                    close();
                    return;
                }
                const auto rate = m_faults->bytes_per_second;
                const std::chrono::microseconds pause{rate == 0 ? 0 : written * 1000000 / rate};
                after(way, pause, [this, &from, &to, &way] { read(from, to, way); });
            });
    }

    template <typename Duration, typename Handler>
    void after(direction& way, Duration pause, Handler handler) {
        if (pause == Duration::zero()) {
            handler();
            return;
        }
        way.timer.expires_after(pause);
        way.timer.async_wait([self = shared_from_this(), handler](const error_code& ec) {
            if (!ec && self->passes()) {
                handler();
            }
        });
    }

    tcp::socket m_client;
    tcp::socket m_target;
    std::shared_ptr<faults> m_faults;
    direction m_requests;
    direction m_answers;
    bool m_stalled = false;
    bool m_closed = false;
    bool m_one_ended = false;
};

} // namespace

struct fault_proxy::implementation {
    explicit implementation(const std::string& remote)
        : target{to_endpoint(remote)}, acceptor{context,
                                                {boost::asio::ip::address_v4::loopback(), 0}} {
        address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        accept();
        thread = std::thread{[this] { context.run(); }};
    }

    void accept() {
        acceptor.async_accept([this](const error_code& ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            relays.remove_if([](const auto& it) { return it->closed(); });
            auto added = std::make_shared<relay>(std::move(socket), shared);
            if (refusing) {
                added->close();
            } else {
                relays.push_back(added);
                added->start(target);
            }
            accept();
        });
    }

    boost::asio::io_context context{1};
    std::shared_ptr<faults> shared = std::make_shared<faults>();
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::string address;
    std::list<std::shared_ptr<relay>> relays;
    bool refusing = false;
    std::thread thread;
};

fault_proxy::fault_proxy(const std::string& target)
    : m_implementation{std::make_unique<implementation>(target)} {}

fault_proxy::~fault_proxy() {
    m_implementation->context.stop();
    m_implementation->thread.join();
}

void fault_proxy::run(const std::function<void()>& change) const {
    std::promise<void> done;
    boost::asio::post(m_implementation->context, [&] {
        change();
        done.set_value();
    });
    done.get_future().wait();
}

const std::string& fault_proxy::address() const {
    return m_implementation->address;
}

void fault_proxy::set_target(const std::string& target) {
    run([&] { m_implementation->target = to_endpoint(target); });
}

void fault_proxy::cut() {
    run([&] {
        for (const auto& it : m_implementation->relays) {
            it->close();
        }
        m_implementation->relays.clear();
    });
}

void fault_proxy::stall_existing() {
    run([&] {
        for (const auto& it : m_implementation->relays) {
            it->stall();
        }
    });
}

void fault_proxy::set_refusing(bool refusing) {
    run([&] { m_implementation->refusing = refusing; });
}

void fault_proxy::set_delay(std::chrono::milliseconds delay) {
    run([&] { m_implementation->shared->delay = delay; });
}

void fault_proxy::set_rate(std::size_t bytes_per_second) {
    run([&] { m_implementation->shared->bytes_per_second = bytes_per_second; });
}

void fault_proxy::drop_answers(int count) {
    run([&] { m_implementation->shared->answers_to_drop = count; });
}

std::size_t fault_proxy::connections() const {
    std::size_t open = 0;
    run([&] {
        for (const auto& it : m_implementation->relays) {
            open += it->closed() ? 0 : 1;
        }
    });
    return open;
}

} // namespace jujubemast::tests
