#include "wire/socket.h"

#include <utility>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include "common/error.h"

namespace jujubemast::wire {

namespace {

// One ZeroMQ context serves all sockets of the process with a single I/O thread.
zmq::context_t& shared_context() {
    static zmq::context_t context{1};
    return context;
}

/// Waits on a socket's descriptor. The descriptor is edge-triggered, so the pending events are
/// read again after every receive and send before the next wait.
class event_source : public std::enable_shared_from_this<event_source> {
public:
    event_source(runtime::task_context context, zmq::socket_type type, const socket_limits& limits)
        : m_context{std::move(context)}, m_socket{shared_context(), type},
          m_descriptor{m_context.loop().context()} {
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.set(zmq::sockopt::sndhwm, limits.high_water_mark);
        m_socket.set(zmq::sockopt::rcvhwm, limits.high_water_mark);
    }

    ~event_source() { close(); }
    event_source(const event_source&) = delete;
    event_source& operator=(const event_source&) = delete;

    zmq::socket_t& socket() { return m_socket; }

    void open(std::function<bool()> receive_one) {
        m_receive_one = std::move(receive_one);
        m_descriptor.assign(m_socket.get(zmq::sockopt::fd));
        wait();
        drain();
    }

    /// Schedules a check of pending events, which a send may have consumed from the descriptor.
    void check_later() {
        if (m_scheduled) {
            return;
        }
        m_scheduled = true;
        m_context.loop().post(m_context.wrap([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_scheduled = false;
                self->drain();
            }
        }));
    }

    void close() noexcept {
        if (m_descriptor.is_open()) {
            // The descriptor belongs to ZeroMQ, which closes it with the socket.
            boost::system::error_code ec;
            m_descriptor.cancel(ec);
            m_descriptor.release();
        }
        m_socket.close();
        m_receive_one = nullptr;
    }

private:
    // Bounds the work of one turn of the event loop.
    static constexpr int batch_size = 64;

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
        for (int n = 0; n < batch_size; ++n) {
            if (!m_receive_one || !readable()) {
                return;
            }
            const auto receive = m_receive_one;
            if (!receive()) {
                return;
            }
        }
        check_later();
    }

    bool readable() { return (m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; }

    runtime::task_context m_context;
    zmq::socket_t m_socket;
    boost::asio::posix::stream_descriptor m_descriptor;
    std::function<bool()> m_receive_one;
    bool m_scheduled = false;
};

} // namespace

struct dealer::implementation {
    std::shared_ptr<event_source> source;
};

dealer::dealer(const runtime::task_context& context, const std::string& remote,
               receive_hook on_message, const socket_limits& limits)
    : m_implementation{std::make_shared<implementation>()} {
    auto source = std::make_shared<event_source>(context, zmq::socket_type::dealer, limits);
    m_implementation->source = source;
    // Without this option messages would wait for a peer that is absent and arrive stale.
    source->socket().set(zmq::sockopt::immediate, 1);
    try {
        source->socket().connect("tcp://" + remote);
    } catch (const zmq::error_t& e) {
        throw common::network_error{"cannot connect to " + remote + ": " + e.what()};
    }
    source->open([weak = std::weak_ptr{source}, on_message = std::move(on_message)] {
        const auto it = weak.lock();
        zmq::message_t part;
        if (!it || !it->socket().recv(part, zmq::recv_flags::dontwait)) {
            return false;
        }
        on_message(part.to_string());
        return true;
    });
}

dealer::~dealer() {
    m_implementation->source->close();
}

bool dealer::send(std::string_view bytes) {
    auto& source = *m_implementation->source;
    const auto sent = source.socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    source.check_later();
    return sent.has_value();
}

struct router::implementation {
    std::shared_ptr<event_source> source;
};

router::router(const runtime::task_context& context, const std::string& local,
               receive_hook on_message, const socket_limits& limits)
    : m_implementation{std::make_shared<implementation>()} {
    auto source = std::make_shared<event_source>(context, zmq::socket_type::router, limits);
    m_implementation->source = source;
    // Sending to a connection that is gone becomes an error instead of a silent drop.
    source->socket().set(zmq::sockopt::router_mandatory, 1);
    try {
        source->socket().bind("tcp://" + local);
    } catch (const zmq::error_t& e) {
        throw common::network_error{"cannot listen on " + local + ": " + e.what()};
    }
    source->open([weak = std::weak_ptr{source}, on_message = std::move(on_message)] {
        const auto it = weak.lock();
        zmq::message_t id;
        zmq::message_t part;
        if (!it || !it->socket().recv(id, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (id.more() && it->socket().recv(part, zmq::recv_flags::dontwait)) {
            on_message(id.to_string(), part.to_string());
        }
        return true;
    });
}

router::~router() {
    m_implementation->source->close();
}

bool router::send(std::string_view routing_id, std::string_view bytes) {
    auto& source = *m_implementation->source;
    try {
        const auto flags = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
        if (!source.socket().send(zmq::buffer(routing_id), flags)) {
            return false;
        }
        const bool sent =
            source.socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
        source.check_later();
        return sent;
    } catch (const zmq::error_t&) {
        return false;
    }
}

std::string router::address() const {
    const auto text = m_implementation->source->socket().get(zmq::sockopt::last_endpoint);
    constexpr std::string_view scheme = "tcp://";
    return text.substr(scheme.size());
}

} // namespace jujubemast::wire
