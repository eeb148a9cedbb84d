#include "wire/socket.h"

#include <utility>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include "common/error.h"

namespace jujubemast::wire {

namespace {

// All sockets of the process share one ZeroMQ context with a single I/O thread.
zmq::context_t& shared_context() {
    static zmq::context_t context{1};
    return context;
}

/// A ZeroMQ socket that receives on the event loop. It waits on the socket's descriptor, which is
/// edge-triggered, so the pending events are read again after every receive and send.
class async_socket : public std::enable_shared_from_this<async_socket> {
public:
    async_socket(runtime::task_context context, zmq::socket_type type, const socket_limits& limits)
        : m_context{std::move(context)}, m_native{shared_context(), type},
          m_descriptor{m_context.loop().context()} {
        m_native.set(zmq::sockopt::linger, 0);
        m_native.set(zmq::sockopt::sndhwm, limits.high_water_mark);
        m_native.set(zmq::sockopt::rcvhwm, limits.receive_high_water_mark);
        m_native.set(zmq::sockopt::maxmsgsize, limits.max_message_bytes);
    }

    ~async_socket() { close(); }
    async_socket(const async_socket&) = delete;
    async_socket& operator=(const async_socket&) = delete;

    zmq::socket_t& native() { return m_native; }

    void start(std::function<bool()> receive_one) {
        m_receive_one = std::move(receive_one);
        m_descriptor.assign(m_native.get(zmq::sockopt::fd));
        wait();
        drain();
    }

    /// Schedules a check for messages to receive. A send may have consumed the edge of the
    /// descriptor that announced them.
    void schedule_drain() {
        if (m_drain_scheduled) {
            return;
        }
        m_drain_scheduled = true;
        m_context.loop().post(m_context.wrap([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_drain_scheduled = false;
                self->drain();
            }
        }));
    }

    void close() noexcept {
        if (m_descriptor.is_open()) {
            // The descriptor is owned by ZeroMQ, which closes it together with the socket.
            boost::system::error_code ec;
            m_descriptor.cancel(ec);
            m_descriptor.release();
        }
        m_native.close();
        m_receive_one = nullptr;
    }

private:
    // Limits how long one turn of the event loop takes.
    static constexpr int max_receives_per_turn = 64;

    void wait() {
        m_descriptor.async_wait(
            boost::asio::posix::stream_descriptor::wait_read,
            m_context.wrap([weak = weak_from_this()](const boost::system::error_code& ec) {
                const auto self = weak.lock();
                if (ec || !self || !self->m_receive_one) {
                    return;
                }
                self->wait();
                self->drain();
            }));
    }

    void drain() {
        for (int n = 0; n < max_receives_per_turn; ++n) {
            if (!m_receive_one || !readable()) {
                return;
            }
            const auto receive = m_receive_one;
            if (!receive()) {
                return;
            }
        }
        schedule_drain();
    }

    bool readable() { return (m_native.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; }

    runtime::task_context m_context;
    zmq::socket_t m_native;
    boost::asio::posix::stream_descriptor m_descriptor;
    std::function<bool()> m_receive_one;
    bool m_drain_scheduled = false;
};

} // namespace

struct dealer::implementation {
    std::shared_ptr<async_socket> socket;
};

dealer::dealer(const runtime::task_context& context, const std::string& remote_address,
               receive_hook on_message, const socket_limits& limits)
    : m_implementation{std::make_shared<implementation>()} {
    auto socket = std::make_shared<async_socket>(context, zmq::socket_type::dealer, limits);
    m_implementation->socket = socket;
    // Without this option messages would be queued while the peer is not connected, and be stale
    // when they arrive.
    socket->native().set(zmq::sockopt::immediate, 1);
    try {
        socket->native().connect("tcp://" + remote_address);
    } catch (const zmq::error_t& e) {
        throw common::network_error{"cannot connect to " + remote_address + ": " + e.what()};
    }
    socket->start([weak = std::weak_ptr{socket}, on_message = std::move(on_message)] {
        const auto self = weak.lock();
        zmq::message_t part;
        if (!self || !self->native().recv(part, zmq::recv_flags::dontwait)) {
            return false;
        }
        on_message(part.to_string());
        return true;
    });
}

dealer::~dealer() {
    m_implementation->socket->close();
}

bool dealer::send(std::string_view bytes) {
    auto& socket = *m_implementation->socket;
    const auto sent = socket.native().send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    socket.schedule_drain();
    return sent.has_value();
}

struct router::implementation {
    std::shared_ptr<async_socket> socket;
};

router::router(const runtime::task_context& context, const std::string& local_address,
               receive_hook on_message, const socket_limits& limits)
    : m_implementation{std::make_shared<implementation>()} {
    auto socket = std::make_shared<async_socket>(context, zmq::socket_type::router, limits);
    m_implementation->socket = socket;
    // A send to a closed connection fails instead of dropping the message silently.
    socket->native().set(zmq::sockopt::router_mandatory, 1);
    try {
        socket->native().bind("tcp://" + local_address);
    } catch (const zmq::error_t& e) {
        throw common::network_error{"cannot listen on " + local_address + ": " + e.what()};
    }
    socket->start([weak = std::weak_ptr{socket}, on_message = std::move(on_message)] {
        const auto self = weak.lock();
        zmq::message_t id;
        zmq::message_t part;
        if (!self || !self->native().recv(id, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (id.more() && self->native().recv(part, zmq::recv_flags::dontwait)) {
            on_message(id.to_string(), part.to_string());
        }
        return true;
    });
}

router::~router() {
    m_implementation->socket->close();
}

bool router::send(std::string_view routing_id, std::string_view bytes) {
    auto& socket = *m_implementation->socket;
    try {
        const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
        if (!socket.native().send(zmq::buffer(routing_id), flags)) {
            return false;
        }
        const bool sent =
            socket.native().send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
        socket.schedule_drain();
        return sent;
    } catch (const zmq::error_t&) {
        return false;
    }
}

std::string router::address() const {
    const auto text = m_implementation->socket->native().get(zmq::sockopt::last_endpoint);
    constexpr std::string_view scheme = "tcp://";
    return text.substr(scheme.size());
}

} // namespace jujubemast::wire
