#include "http/client.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/connection_pool.h"
#include "http/socket_options.h"
#include "http/transfer_coding.h"

namespace jujubemast::http {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
// Bounds the bytes that are read but not yet parsed, because the parser's body limit does not count
// chunk-size lines and trailers. Larger than the parser's limit for a header (8 KiB).
constexpr std::size_t max_unparsed_bytes = std::size_t{32} * 1024;
// Servers normally send at most one or two interim (1xx) responses before the final one.
constexpr int max_interim_responses = 8;
// Beast throws an exception when a message gets a field with a longer name or value.
constexpr std::size_t max_field_bytes = std::size_t{65'535} - 2;
constexpr unsigned status_first_valid = 100;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned status_first_final = 200;
constexpr unsigned status_last_valid = 599;

class exchange;

call_error_kind error_kind_of(const boost::system::error_code& ec) {
    if (ec == boost::beast::error::timeout) {
        return call_error_kind::timeout;
    }
    if (ec == beast_http::error::body_limit || ec == beast_http::error::header_limit ||
        ec == beast_http::error::buffer_overflow) {
        return call_error_kind::too_large;
    }
    const bool is_http_error =
        ec.category() == beast_http::make_error_code(beast_http::error::bad_version).category();
    if (is_http_error && ec != beast_http::error::end_of_stream &&
        ec != beast_http::error::partial_message) {
        return call_error_kind::malformed;
    }
    return call_error_kind::closed;
}

/// Whether Beast can encode a request. It throws an exception for fields that are too long and for
/// TRACE with a body.
bool is_encodable(const request& message) {
    if (message.method == "TRACE" && !message.body.empty()) {
        return false;
    }
    return std::all_of(message.fields.begin(), message.fields.end(), [](const header& it) {
        return it.name.size() <= max_field_bytes && it.value.size() <= max_field_bytes;
    });
}

/// Whether fields of a response say that a body follows. It would be taken for the next response if
/// the response cannot have a body.
template <typename Message>
bool announces_body(const Message& response) {
    return response.find(beast_http::field::content_length) != response.end() ||
           response.find(beast_http::field::transfer_encoding) != response.end();
}

} // namespace

struct client::implementation : std::enable_shared_from_this<client::implementation> {
    implementation(runtime::task_context owner, endpoint target, client_limits bounds)
        : context{std::move(owner)}, server{std::move(target)}, limits{bounds},
          idle_connections{context, limits.max_idle_connections} {}

    /// Keeps the connection of a call that has ended for later calls.
    void keep(connection_pool::connection idle, common::duration lifetime);
    /// Closes the oldest idle connections beyond the limit of all connections.
    void close_excess_connections();

    runtime::task_context context;
    endpoint server;
    client_limits limits;
    std::map<call_id, std::shared_ptr<exchange>> calls;
    connection_pool idle_connections;
    call_id next_id = 1;
    bool closed = false;
};

namespace {

/// One request and its response on one connection.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(std::weak_ptr<client::implementation> owner, call_id id, const request& message,
             call_hooks hooks, call_options options)
        : m_owner{std::move(owner)}, m_id{id}, m_hooks{std::move(hooks)}, m_options{options} {
        m_encodable = is_encodable(message);
        if (!m_encodable) {
            return;
        }
        m_request.method_string(message.method);
        m_request.target(message.target);
        m_request.version(11);
        for (const auto& it : message.fields) {
            m_request.insert(it.name, it.value);
        }
        m_request.body() = message.body;
        m_request.keep_alive(true);
        m_request.prepare_payload();
    }

    void start() {
        const auto owner = m_owner.lock();
        if (!m_encodable) {
            refuse_later();
            return;
        }
        const auto timeout = value_or_default(m_options.total_timeout, owner->limits.total_timeout);
        if (timeout > common::duration::zero()) {
            m_deadline = common::monotonic_clock::now() + timeout;
        }
        if (m_request.find(beast_http::field::host) == m_request.end()) {
            m_request.set(beast_http::field::host, to_string(owner->server));
        }
        if (m_options.idempotent) {
            m_stream = owner->idle_connections.take();
        }
        m_reused = m_stream != nullptr;
        if (m_reused) {
            write();
            return;
        }
        connect();
    }

    void abort() noexcept {
        m_ended = true;
        m_hooks = {};
        if (m_stream) {
            boost::system::error_code ec;
            m_stream->socket().close(ec);
        }
    }

private:
    template <typename Handler>
    auto wrap(Handler handler) {
        return m_owner.lock()->context.wrap(
            [self = shared_from_this(), handler = std::move(handler)](auto&&... arguments) mutable {
                if (!self->m_ended && !self->m_owner.expired()) {
                    handler(std::forward<decltype(arguments)>(arguments)...);
                }
            });
    }

    /// Ends the call in the next iteration of the event loop, because the caller does not expect
    /// its end before its start.
    void refuse_later() {
        m_owner.lock()->context.loop().post(
            wrap([this] { fail(call_error_kind::too_large, "the request cannot be encoded"); }));
    }

    void connect() {
        const auto owner = m_owner.lock();
        owner->close_excess_connections();
        m_stream = std::make_unique<boost::beast::tcp_stream>(owner->context.loop().context());
        set_operation_timeout(owner->limits.connect_timeout);
        const tcp::endpoint remote{boost::asio::ip::make_address(owner->server.host),
                                   owner->server.port};
        m_stream->async_connect(remote, wrap([this](const boost::system::error_code& ec) {
                                    if (ec) {
                                        fail(call_error_kind::connect, ec.message());
                                        return;
                                    }
                                    set_socket_options(m_stream->socket());
                                    write();
                                }));
    }

    void write() {
        // Set until the write shows otherwise, because a timeout may end the call first.
        m_sent = true;
        set_operation_timeout(head_timeout());
        beast_http::async_write(*m_stream, m_request,
                                wrap([this](const boost::system::error_code& ec, std::size_t size) {
                                    m_sent = !ec || size > 0;
                                    m_head_deadline =
                                        common::monotonic_clock::now() + head_timeout();
                                    if (!ec) {
                                        read_head();
                                    } else if (ec != boost::beast::error::timeout && m_sent) {
                                        read_early_head(ec);
                                    } else {
                                        transport_failed(ec);
                                    }
                                }));
    }

    /// Reads a response that the server has sent before it closed the connection, which ended the
    /// write of the request.
    void read_early_head(const boost::system::error_code& write_error) {
        m_write_error = write_error;
        read_head();
    }

    void read_head() {
        m_parser.emplace();
        m_parser->body_limit(max_body_bytes());
        // The response to HEAD has no body, whatever its fields say (RFC 9110, section 9.3.2).
        m_parser->skip(m_request.method() == beast_http::verb::head);
        set_operation_timeout(m_head_deadline - common::monotonic_clock::now());
        beast_http::async_read_header(
            *m_stream, m_input, *m_parser,
            wrap([this](const boost::system::error_code& ec, std::size_t /*size*/) {
                if (ec) {
                    transport_failed(ec);
                    return;
                }
                head_received();
            }));
    }

    void head_received() {
        const auto status = m_parser->get().result_int();
        if (status < status_first_valid || status > status_last_valid) {
            // Such a code has no meaning (RFC 9110, section 15), also none for the bytes after it.
            fail(call_error_kind::malformed, "invalid status " + std::to_string(status));
            return;
        }
        if (status == status_switching_protocols) {
            fail(call_error_kind::malformed, "the server changes the protocol unasked");
            return;
        }
        if (status < status_first_final) {
            // The final response follows on the same connection (RFC 9110, section 15.2).
            if (announces_body(m_parser->get())) {
                fail(call_error_kind::malformed, "an interim answer with a body");
                return;
            }
            if (++m_interim_responses > max_interim_responses) {
                fail(call_error_kind::malformed, "too many interim answers");
                return;
            }
            read_head();
            return;
        }
        if (transfer_coding_of(m_parser->get()) != transfer_coding::supported) {
            fail(call_error_kind::malformed, "unsupported transfer coding");
            return;
        }
        if (m_write_error && !m_parser->is_done() && m_parser->need_eof()) {
            // The write has taken the error of the connection, so that its end looks like that of
            // the response.
            transport_failed(*m_write_error);
            return;
        }
        m_keep_alive = m_parser->get().keep_alive() && !m_write_error;
        const auto field = m_parser->get()[beast_http::field::keep_alive];
        m_server_timeout = parse_keep_alive_timeout({field.data(), field.size()});
        deliver_head();
        // Short fields take many times their size, and nobody needs them until the response ends.
        m_parser->get().clear();
        read_body();
    }

    void deliver_head() {
        if (!m_hooks.on_head) {
            return;
        }
        headers fields;
        for (const auto& it : m_parser->get()) {
            fields.push_back({std::string{it.name_string()}, std::string{it.value()}});
        }
        m_hooks.on_head(m_parser->get().result_int(), fields);
    }

    void read_body() {
        if (m_ended) {
            return;
        }
        if (m_parser->is_done()) {
            complete();
            return;
        }
        if (m_deadline && common::monotonic_clock::now() >= *m_deadline) {
            fail(call_error_kind::timeout, "the answer does not end in time");
            return;
        }
        auto& body = m_parser->get().body();
        body.data = m_read_buffer.data();
        body.size = m_read_buffer.size();
        set_operation_timeout(m_owner.lock()->limits.progress_timeout);
        beast_http::async_read_some(*m_stream, m_input, *m_parser,
                                    wrap([this](const boost::system::error_code& ec,
                                                std::size_t /*size*/) { body_received(ec); }));
    }

    void body_received(const boost::system::error_code& ec) {
        if (ec && ec != beast_http::error::need_buffer) {
            transport_failed(ec);
            return;
        }
        const auto n = m_read_buffer.size() - m_parser->get().body().size;
        if (n > 0 && m_hooks.on_data) {
            m_hooks.on_data(std::string_view{m_read_buffer.data(), n});
        }
        read_body();
    }

    void complete() {
        const auto owner = m_owner.lock();
        m_ended = true;
        owner->calls.erase(m_id);
        // With bytes after a complete response, which belong to no request, it is not used again.
        if (m_options.idempotent && m_keep_alive && m_input.size() == 0) {
            m_stream->expires_never();
            owner->keep(std::move(m_stream), idle_lifetime());
        } else {
            // Closed at once, although the object of the call may live on.
            m_stream.reset();
        }
        if (m_hooks.on_done) {
            m_hooks.on_done();
        }
    }

    void transport_failed(const boost::system::error_code& ec) {
        const bool nothing_received =
            (!m_parser || !m_parser->got_some()) && m_interim_responses == 0;
        if (m_reused && nothing_received && m_options.idempotent &&
            m_options.retry_on_stale_connection && ec != boost::beast::error::timeout) {
            m_reused = false;
            m_write_error.reset();
            m_parser.reset();
            m_input.clear();
            connect();
            return;
        }
        fail(error_kind_of(ec), ec.message());
    }

    void fail(call_error_kind kind, std::string detail) {
        const auto owner = m_owner.lock();
        m_ended = true;
        if (m_stream) {
            boost::system::error_code ignored;
            m_stream->socket().close(ignored);
        }
        if (kind == call_error_kind::timeout) {
            // Idle connections to the same server may be dead without being closed, so later calls
            // open new ones.
            owner->idle_connections.clear();
        }
        owner->calls.erase(m_id);
        if (m_hooks.on_error) {
            m_hooks.on_error({kind, m_sent, std::move(detail)});
        }
    }

    /// The idle limit of the client, or less when the server's Keep-Alive header announces an
    /// earlier close.
    [[nodiscard]] common::duration idle_lifetime() const {
        // A request that is sent at the moment when the server closes the connection would be lost.
        constexpr common::duration margin = std::chrono::milliseconds{500};
        const auto limit = m_owner.lock()->limits.idle_lifetime;
        return m_server_timeout ? std::min(limit, *m_server_timeout - margin) : limit;
    }

    /// Returns the value set for the call, or that of the client when the call sets none.
    template <typename Value>
    static Value value_or_default(Value call_value, Value client_value) {
        return call_value == Value{} ? client_value : call_value;
    }

    [[nodiscard]] common::duration head_timeout() const {
        return value_or_default(m_options.head_timeout, m_owner.lock()->limits.head_timeout);
    }

    [[nodiscard]] std::size_t max_body_bytes() const {
        return value_or_default(m_options.max_body_bytes,
                                m_owner.lock()->limits.max_response_bytes);
    }

    /// Limits the next operation to this time, or to the deadline of the call if that is earlier.
    void set_operation_timeout(common::duration limit) {
        if (m_deadline) {
            limit = std::min<common::duration>(limit, *m_deadline - common::monotonic_clock::now());
        }
        m_stream->expires_after(std::max(limit, common::duration::zero()));
    }

    std::weak_ptr<client::implementation> m_owner;
    call_id m_id;
    beast_http::request<beast_http::string_body> m_request;
    call_hooks m_hooks;
    call_options m_options;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_input{max_unparsed_bytes};
    std::optional<beast_http::response_parser<beast_http::buffer_body>> m_parser;
    std::array<char, read_buffer_bytes> m_read_buffer{};
    /// Deadline of the whole call; none without a total timeout.
    std::optional<common::time_point> m_deadline;
    common::time_point m_head_deadline;
    /// What the head of the response says about the use of the connection after it.
    bool m_keep_alive = false;
    std::optional<common::duration> m_server_timeout;
    int m_interim_responses = 0;
    bool m_encodable = true;
    /// Why the request could not be written to its end.
    std::optional<boost::system::error_code> m_write_error;
    bool m_reused = false;
    bool m_sent = false;
    bool m_ended = false;
};

} // namespace

void client::implementation::keep(connection_pool::connection idle, common::duration lifetime) {
    if (!closed) {
        idle_connections.keep(std::move(idle), lifetime);
        close_excess_connections();
    }
}

void client::implementation::close_excess_connections() {
    idle_connections.shrink_to(limits.max_connections -
                               std::min(calls.size(), limits.max_connections));
}

client::client(runtime::task_context context, endpoint server, client_limits limits)
    : m_implementation{
          std::make_shared<implementation>(std::move(context), std::move(server), limits)} {}

client::~client() {
    close();
}

call_id client::start(const request& message, call_hooks hooks, call_options options) {
    const auto id = m_implementation->next_id++;
    auto call =
        std::make_shared<exchange>(m_implementation, id, message, std::move(hooks), options);
    m_implementation->calls.emplace(id, call);
    call->start();
    return id;
}

call_id client::send(const request& message, std::function<void(call_result)> done,
                     call_options options) {
    auto received = std::make_shared<response>();
    auto finish = std::make_shared<std::function<void(call_result)>>(std::move(done));
    call_hooks hooks;
    hooks.on_head = [received](unsigned status, const headers& fields) {
        received->status = status;
        received->fields = fields;
    };
    hooks.on_data = [received](std::string_view bytes) { received->body += bytes; };
    hooks.on_done = [received, finish] { (*finish)(std::move(*received)); };
    hooks.on_error = [finish](const call_error& error) { (*finish)(error); };
    return start(message, std::move(hooks), options);
}

void client::cancel(call_id id) {
    const auto position = m_implementation->calls.find(id);
    if (position == m_implementation->calls.end()) {
        return;
    }
    position->second->abort();
    m_implementation->calls.erase(position);
}

void client::close() noexcept {
    m_implementation->closed = true;
    for (auto& it : m_implementation->calls) {
        it.second->abort();
    }
    m_implementation->calls.clear();
    m_implementation->idle_connections.clear();
}

std::size_t client::calls_in_progress() const {
    return m_implementation->calls.size();
}

std::size_t client::idle_connections() const {
    return m_implementation->idle_connections.size();
}

void client::set_max_connections(std::size_t limit) {
    m_implementation->limits.max_connections = limit;
    m_implementation->close_excess_connections();
}

} // namespace jujubemast::http
