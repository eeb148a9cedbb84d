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

/// The active faults, shared by all connections of a proxy.
struct faults {
    std::chrono::milliseconds delay{0};
    std::size_t bytes_per_second = 0;
    int responses_to_drop = 0;
};

/// A connection from a client together with the connection to the target.
class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    proxied_connection(tcp::socket client, std::shared_ptr<faults> active_faults)
        : m_client{std::move(client)}, m_target{m_client.get_executor()}, m_faults{std::move(
                                                                              active_faults)},
          m_requests{m_client.get_executor()}, m_responses{m_client.get_executor()} {}

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
            self->read(self->m_target, self->m_client, self->m_responses);
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
        m_responses.timer.cancel();
    }

    [[nodiscard]] bool closed() const { return m_closed; }

private:
    struct direction {
        explicit direction(const tcp::socket::executor_type& executor) : timer{executor} {}
        std::array<char, buffer_bytes> buffer{};
        boost::asio::steady_timer timer;
    };

    [[nodiscard]] bool is_forwarding() const { return !m_stalled && !m_closed; }

    void read(tcp::socket& from, tcp::socket& to, direction& channel) {
        from.async_read_some(
            boost::asio::buffer(channel.buffer),
            [this, self = shared_from_this(), &from, &to, &channel](const error_code& ec,
                                                                    std::size_t size) {
                if (!is_forwarding()) {
                    return;
                }
                if (ec) {
                    propagate_close(to, ec);
                    return;
                }
                if (&channel == &m_responses && m_faults->responses_to_drop > 0) {
                    --m_faults->responses_to_drop;
                    close();
                    return;
                }
                run_after(channel, m_faults->delay,
                          [this, &from, &to, &channel, size] { write(from, to, channel, size); });
            });
    }

    /// Forwards an orderly shutdown of one direction. Closes both connections after any other error
    /// and when the second direction ends.
    void propagate_close(tcp::socket& to, const error_code& ec) {
        if (ec != boost::asio::error::eof || std::exchange(m_half_closed, true)) {
            close();
            return;
        }
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void write(tcp::socket& from, tcp::socket& to, direction& channel, std::size_t size) {
        boost::asio::async_write(
            to, boost::asio::buffer(channel.buffer, size),
            [this, self = shared_from_this(), &from, &to, &channel](const error_code& ec,
                                                                    std::size_t written) {
                if (!is_forwarding()) {
                    return;
                }
                if (ec) {
                    close();
                    return;
                }
                const auto rate = m_faults->bytes_per_second;
                const std::chrono::microseconds pause{rate == 0 ? 0 : written * 1000000 / rate};
                run_after(channel, pause,
                          [this, &from, &to, &channel] { read(from, to, channel); });
            });
    }

    template <typename Duration, typename Handler>
    void run_after(direction& channel, Duration pause, Handler handler) {
        if (pause == Duration::zero()) {
            handler();
            return;
        }
        channel.timer.expires_after(pause);
        channel.timer.async_wait([self = shared_from_this(), handler](const error_code& ec) {
            if (!ec && self->is_forwarding()) {
                handler();
            }
        });
    }

    tcp::socket m_client;
    tcp::socket m_target;
    std::shared_ptr<faults> m_faults;
    direction m_requests;
    direction m_responses;
    bool m_stalled = false;
    bool m_closed = false;
    bool m_half_closed = false;
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
            connections.remove_if([](const auto& it) { return it->closed(); });
            auto added = std::make_shared<proxied_connection>(std::move(socket), active_faults);
            if (refusing) {
                added->close();
            } else {
                connections.push_back(added);
                added->start(target);
            }
            accept();
        });
    }

    boost::asio::io_context context{1};
    std::shared_ptr<faults> active_faults = std::make_shared<faults>();
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::string address;
    std::list<std::shared_ptr<proxied_connection>> connections;
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

void fault_proxy::reset_connections() {
    run([&] {
        for (const auto& it : m_implementation->connections) {
            it->close();
        }
        m_implementation->connections.clear();
    });
}

void fault_proxy::stall_existing() {
    run([&] {
        for (const auto& it : m_implementation->connections) {
            it->stall();
        }
    });
}

void fault_proxy::set_refusing(bool refusing) {
    run([&] { m_implementation->refusing = refusing; });
}

void fault_proxy::set_delay(std::chrono::milliseconds delay) {
    run([&] { m_implementation->active_faults->delay = delay; });
}

void fault_proxy::set_rate(std::size_t bytes_per_second) {
    run([&] { m_implementation->active_faults->bytes_per_second = bytes_per_second; });
}

void fault_proxy::drop_responses(int count) {
    run([&] { m_implementation->active_faults->responses_to_drop = count; });
}

std::size_t fault_proxy::connections() const {
    std::size_t open = 0;
    run([&] {
        for (const auto& it : m_implementation->connections) {
            open += it->closed() ? 0 : 1;
        }
    });
    return open;
}

} // namespace jujubemast::tests
