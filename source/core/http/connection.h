#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "common/enum_names.h"
#include "http/buffer_budget.h"
#include "http/server.h"
#include "logging/logger.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace jujubemast::http {

/// State of a server connection.
enum class connection_phase { reading, handling, streaming, finishing, lingering };

/// Whether a connection serves requests or only responds that there are too many connections.
enum class connection_role { serving, refusing };

/// State that the connections of one server share with their listener.
struct server_state {
    server_limits limits;
    std::function<common::duration()> idle_timeout;
    /// Set when an ordered stop has begun; every connection then closes after its current response.
    bool stopping = false;
    /// After this time of an ordered stop, requests that are still incomplete are refused.
    common::time_point stop_read_deadline;
    /// Memory for the bodies of the requests of all connections.
    buffer_budget request_bodies;
    /// Memory for the unsent output of all connections.
    buffer_budget output;
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
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_request();
    void wait_for_next_request();
    void read_message();
    /// Ends an ordered stop if the connection is idle. Otherwise limits the read of the request.
    void stop_reading();
    /// How long a request may take to arrive; ends at the read deadline of an ordered stop.
    [[nodiscard]] common::duration read_limit() const;
    void start_read_timer(common::duration limit);
    void head_read(const boost::system::error_code& ec);
    /// Reads the body, or refuses the request if there is no memory for it.
    void read_body();
    /// Reads a part of a body whose length is not known, and then the next one.
    void read_body_part();
    /// Makes room for a body of this size. Returns false if there is no memory for it.
    bool reserve_body(std::size_t size);
    void release_body();
    void reject_for_memory();
    void request_read(const boost::system::error_code& ec);
    /// Refuses the request if its body could not be read correctly. Returns whether it did.
    bool reject_transfer_coding();
    void reject(boost::beast::http::status status, const std::string& title);
    void watch_for_disconnect();
    void command_received(reply_command command);
    void send_whole_response(const response& content);
    void start_stream(const response& head);
    void add_chunk(const std::string& bytes);
    /// Closes the connection if there is no memory for the bytes.
    void enqueue(std::string bytes);
    /// Closes a connection whose client does not read fast enough.
    void close_slow_reader();
    void write_next();
    void write_completed(const boost::system::error_code& ec);
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
    [[nodiscard]] bool keeps_alive() const;

    runtime::task_context m_context;
    boost::beast::tcp_stream m_stream;
    std::shared_ptr<server_state> m_server;
    handler m_handler;
    runtime::inbox<reply_command> m_inbox;
    boost::beast::flat_buffer m_input;
    std::optional<parser> m_parser;
    runtime::timer m_read_timer;
    bool m_read_timed_out = false;
    std::deque<std::string> m_output;
    std::size_t m_output_bytes = 0;
    /// Memory that is reserved for the body of the current request.
    std::size_t m_body_bytes = 0;
    bool m_writing = false;
    bool m_keep_alive = false;
    /// The response being written announces that the connection closes after it.
    bool m_closing = false;
    bool m_stopping = false;
    bool m_has_served_request = false;
    bool m_rejected = false;
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
    static constexpr std::array<std::string_view, 5> table{"reading", "handling", "streaming",
                                                           "finishing", "lingering"};
};

template <>
struct enum_names<http::connection_role> {
    static constexpr std::array<std::string_view, 2> table{"serving", "refusing"};
};

} // namespace jujubemast::common
