#include "http/server.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include "common/error.h"
#include "http/connection.h"
#include "logging/logger.h"

namespace jujubemast::http {

namespace {

using boost::asio::ip::tcp;

/// Accepts connections and starts a task for each under the supervisor of connections.
class listener final : public runtime::task {
public:
    listener(runtime::task_context context, server_options options, handler handle_request,
             std::shared_ptr<runtime::supervisor> connections,
             std::shared_ptr<runtime::supervisor> refusals)
        : m_context{std::move(context)}, m_options{std::move(options)}, m_handler{std::move(
                                                                            handle_request)},
          m_connections{std::move(connections)}, m_refusals{std::move(refusals)},
          m_state{std::make_shared<server_state>()}, m_acceptor{m_context.loop().context()},
          m_retry_timer{m_context.loop()}, m_grace_timer{m_context.loop()} {
        m_state->limits = m_options.limits;
        m_state->memory->input = buffer_budget{m_options.limits.input_buffer_bytes};
        m_state->memory->bodies = buffer_budget{m_options.limits.request_buffer_bytes};
        m_state->memory->output = buffer_budget{m_options.limits.output_buffer_bytes};
        m_state->memory->connection_limit = m_options.limits.max_connection_bytes;
        m_state->current_limits = m_options.current_limits;
    }

    void start() override {
        const tcp::endpoint local{boost::asio::ip::make_address(m_options.listen.host),
                                  m_options.listen.port};
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address{true});
        boost::system::error_code ec;
        m_acceptor.bind(local, ec);
        if (ec) {
            throw common::network_error{"cannot listen on " + to_string(m_options.listen) + ": " +
                                        ec.message()};
        }
        m_acceptor.listen();
        const auto bound = m_acceptor.local_endpoint();
        const endpoint address{bound.address().to_string(), bound.port()};
        // A restart after a failure keeps the port that was announced first.
        m_options.listen = address;
        m_log.info("Listening.", {{"task", m_context.path()}, {"address", to_string(address)}});
        if (m_options.on_listening) {
            m_options.on_listening(address);
        }
        accept();
    }

    void stop(const runtime::stop_done& done) override {
        m_state->stopping = true;
        m_state->stop_read_deadline = common::monotonic_clock::now() + m_options.stop_read_limit;
        if (m_options.on_stopping) {
            m_options.on_stopping();
        }
        if (m_options.stop_grace == common::duration::zero()) {
            done();
            return;
        }
        m_grace_timer.start(m_options.stop_grace, m_context.wrap(done));
    }

    void close() noexcept override {
        m_retry_timer.cancel();
        m_grace_timer.cancel();
        boost::system::error_code ec;
        m_acceptor.close(ec);
    }

    [[nodiscard]] boost::json::value dump() const override {
        return boost::json::object{{"address", to_string(m_options.listen)},
                                   {"accepted", m_accepted},
                                   {"refused", m_refused},
                                   {"closed_for_others", m_closed_for_others},
                                   {"waiting", m_state->waiting.size()},
                                   {"input_bytes", m_state->memory->input.reserved()},
                                   {"request_bytes", m_state->memory->bodies.reserved()},
                                   {"buffered_bytes", m_state->memory->output.reserved()}};
    }

private:
    void accept() {
        m_acceptor.async_accept(
            m_context.wrap([this](const boost::system::error_code& ec, tcp::socket socket) {
                accept_completed(ec, std::move(socket));
            }));
    }

    void accept_completed(const boost::system::error_code& ec, tcp::socket socket) {
        if (ec) {
            // Such errors, for example too many open files, are temporary. The delay limits the
            // rate of the retries.
            m_log.warn("Accept failed.", {{"reason", ec.message()}});
            m_retry_timer.start(std::chrono::milliseconds{100},
                                m_context.wrap([this] { accept(); }));
            return;
        }
        if (m_connections->child_count() < m_options.limits.max_connections ||
            close_waiting_connection()) {
            start_connection(std::move(socket), *m_connections, connection_role::serving);
        } else {
            ++m_refused;
            // Beyond this limit a socket is closed without a response, which bounds the cost of a
            // flood of connections.
            if (m_refusals->child_count() < m_options.limits.max_refusals) {
                start_connection(std::move(socket), *m_refusals, connection_role::refusing);
            }
        }
        accept();
    }

    /// Closes the connection that has waited longest. Returns false if all have requests in
    /// progress, or none may be closed.
    bool close_waiting_connection() {
        if (m_options.limits.when_full == connection_overflow::refuse_new) {
            return false;
        }
        const auto oldest = m_state->waiting.take_oldest();
        if (!oldest || !oldest->send(make_room{})) {
            return false;
        }
        ++m_closed_for_others;
        return true;
    }

    void start_connection(tcp::socket socket, runtime::supervisor& parent, connection_role role) {
        ++m_accepted;
        auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
        parent.add_child({"connection-" + std::to_string(m_accepted),
                          [shared_socket, state = m_state, handle_request = m_handler,
                           role](runtime::task_context context) {
                              return std::make_shared<connection>(std::move(context),
                                                                  std::move(*shared_socket), state,
                                                                  handle_request, role);
                          },
                          runtime::restart_policy::temporary, m_options.stop_limit});
    }

    runtime::task_context m_context;
    server_options m_options;
    handler m_handler;
    std::shared_ptr<runtime::supervisor> m_connections;
    std::shared_ptr<runtime::supervisor> m_refusals;
    std::shared_ptr<server_state> m_state;
    tcp::acceptor m_acceptor;
    /// Delays the retry of a failed accept.
    runtime::timer m_retry_timer;
    /// Ends the grace period of an ordered stop.
    runtime::timer m_grace_timer;
    logging::logger m_log{"http"};
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    /// Connections that were closed because new ones arrived at the limit.
    std::uint64_t m_closed_for_others = 0;
};

/// Returns the factory of a supervisor for connections, which also stores the supervisor in
/// `result`.
runtime::task_factory
make_connection_supervisor(const std::shared_ptr<std::shared_ptr<runtime::supervisor>>& result) {
    return [result](runtime::task_context context) {
        *result = std::make_shared<runtime::supervisor>(
            std::move(context), runtime::supervisor_options{.order = runtime::stop_order::together},
            std::vector<runtime::child_spec>{});
        return *result;
    };
}

} // namespace

runtime::child_spec make_server(std::string name, server_options options, handler handle_request) {
    const auto limit = options.stop_limit;
    auto make = [limit, options = std::move(options),
                 handle_request = std::move(handle_request)](runtime::task_context context) {
        // The supervisors of the connections start before the listener, so they exist when its
        // factory runs.
        auto connections = std::make_shared<std::shared_ptr<runtime::supervisor>>();
        auto refusals = std::make_shared<std::shared_ptr<runtime::supervisor>>();
        auto make_listener = [connections, refusals, options,
                              handle_request](runtime::task_context child) {
            return std::make_shared<listener>(std::move(child), options, handle_request,
                                              *connections, *refusals);
        };
        const auto restart = runtime::restart_policy::permanent;
        return std::make_shared<runtime::supervisor>(
            std::move(context),
            runtime::supervisor_options{.strategy = runtime::restart_strategy::rest_for_one},
            std::vector<runtime::child_spec>{
                {"connections", make_connection_supervisor(connections), restart, limit},
                {"refusals", make_connection_supervisor(refusals), restart, limit},
                {"listener", make_listener, restart, limit}});
    };
    return {std::move(name), make, runtime::restart_policy::permanent, limit};
}

} // namespace jujubemast::http
