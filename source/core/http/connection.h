#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "common/enum_names.h"
#include "http/connection_account.h"
#include "http/request_reader.h"
#include "http/server.h"
#include "http/waiting_connections.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::http {

/// State of a server connection. A closed one waits for its supervisor to remove it.
enum class connection_phase { reading, handling, streaming, finishing, lingering, closed };

/// Whether a connection serves requests or only responds that there are too many connections.
enum class connection_role { serving, refusing };

/// State that the connections of one server share with their listener.
struct server_state {
    server_limits limits;
    std::function<request_limits()> current_limits;
    /// Set when an ordered stop has begun; every connection then closes after its current response.
    bool stopping = false;
    /// After this time of an ordered stop, requests that are still incomplete are refused.
    common::time_point stop_read_deadline;
    std::shared_ptr<server_memory> memory = std::make_shared<server_memory>();
    waiting_connections waiting;
    /// Receives input that is discarded. Nobody reads it, so the connections share it.
    std::array<char, std::size_t{16} * 1024> discarded{};
    logging::logger log{"http"};
};

/// Serves the requests of one accepted connection, one after the other.
class connection final : public runtime::task {
public:
    connection(runtime::task_context context, boost::asio::ip::tcp::socket socket,
               std::shared_ptr<server_state> server, handler handle_request,
               connection_role role = connection_role::serving);
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start() override;
    void stop(const runtime::stop_done& done) override;
    void close() noexcept override;
    [[nodiscard]] boost::json::value dump() const override;

private:
    void read_request();
    /// Waits for the first byte of a request, for the idle timeout at most.
    void wait_for_request();
    void read_message();
    /// Continues with what the input contains.
    void parse_input();
    void read_more();
    /// Ends an ordered stop if the connection is idle. Otherwise limits the read of the request.
    void stop_reading();
    /// Until when the current read may last: to the first byte, the end of the header or the end of
    /// the body. Ends at the read deadline of an ordered stop.
    [[nodiscard]] common::time_point read_deadline() const;
    void start_read_timer();
    /// Ends the read of a request, because of an error or because it took too long.
    void read_failed();
    void head_read();
    /// Makes room for a body of this size. Returns false if there is no memory for it.
    [[nodiscard]] bool reserve_body(std::size_t size);
    void reject_for_memory();
    void request_read();
    void reject(request_fault fault);
    void reject(unsigned status, std::string_view title);
    /// Lists the connection among those that are closed when descriptors are needed.
    void begin_waiting();
    void end_waiting();
    void watch_for_disconnect();
    void command_received(reply_command command);
    void send_whole_response(const response& content);
    void start_stream(const response& head);
    void add_chunk(const std::string& bytes);
    void end_stream_body();
    /// Closes the connection if there is no memory for the bytes.
    void enqueue(std::string bytes);
    /// Closes a connection whose client does not read fast enough.
    void close_slow_reader();
    void write_next();
    void write_completed(const boost::system::error_code& ec, std::size_t size);
    void response_complete();
    /// Whether bytes of the client have not been read. Closing would then reset the connection and
    /// could discard the response.
    [[nodiscard]] bool has_unread_input();
    /// Keeps the connection open for a short time after its last response, until the client closes.
    void linger();
    /// Reads and discards what the client still sends, so that closing does not discard the
    /// response.
    void discard_input();
    void handle_disconnect();
    /// Drops the output that no write is using.
    void drop_output();
    [[nodiscard]] bool keeps_alive() const;

    runtime::task_context m_context;
    boost::beast::tcp_stream m_stream;
    std::shared_ptr<server_state> m_server;
    handler m_handler;
    runtime::inbox<reply_command> m_inbox;
    connection_account m_account;
    request_reader m_reader;
    request_limits m_limits;
    runtime::timer m_read_timer;
    bool m_read_timed_out = false;
    /// When the wait for a request began, or its first byte arrived.
    common::time_point m_read_start;
    bool m_idle = true;
    bool m_head_read = false;
    /// Bytes of the current body, as far as they have arrived.
    std::size_t m_body_received = 0;
    std::optional<waiting_connections::id> m_waiting_id;
    std::deque<std::string> m_output;
    /// Bytes of the first element of `m_output` that have been sent.
    std::size_t m_output_sent = 0;
    bool m_writing = false;
    bool m_keep_alive = false;
    /// Whether the current request is HEAD. Its response has no body, whoever has written it.
    bool m_is_head = false;
    /// The response being written announces that the connection closes after it.
    bool m_closing = false;
    bool m_stopping = false;
    bool m_rejected = false;
    /// Whether the request was refused because it exceeds a limit that ordinary ones never reach.
    bool m_floods = false;
    common::time_point m_linger_end;
    std::size_t m_discarded_bytes = 0;
    connection_role m_role;
    connection_phase m_phase = connection_phase::reading;
    disconnect_hook m_on_disconnect;
    runtime::stop_done m_stop_callback;
};

} // namespace jujubemast::http

namespace jujubemast::common {

template <>
struct enum_names<http::connection_phase> {
    static constexpr std::array<std::string_view, 6> table{"reading",   "handling",  "streaming",
                                                           "finishing", "lingering", "closed"};
};

template <>
struct enum_names<http::connection_role> {
    static constexpr std::array<std::string_view, 2> table{"serving", "refusing"};
};

} // namespace jujubemast::common
