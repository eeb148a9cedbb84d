#include "support/http_call.h"

#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jujubemast::tests {

namespace beast_http = boost::beast::http;

namespace {

using request_message = beast_http::request<beast_http::string_body>;

request_message to_message(const std::string& address, const http::request& request) {
    request_message message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(beast_http::field::host, address);
    message.set(beast_http::field::connection, "close");
    for (const auto& it : request.fields) {
        // A Host header of the request replaces the address set above.
        message.set(it.name, it.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// One HTTP call on its own connection and event loop.
class http_exchange {
public:
    http_exchange(const std::string& address, const http::request& request,
                  std::function<void(const std::string&)> on_body)
        : m_message{to_message(address, request)}, m_on_body{std::move(on_body)} {
        const auto target = http::parse_endpoint(address);
        m_remote = {boost::asio::ip::make_address(target.host), target.port};
    }

    boost::system::error_code run(std::chrono::seconds timeout) {
        m_stream.expires_after(timeout);
        m_stream.async_connect(m_remote, [this](boost::system::error_code ec) {
            if (!failed(ec)) {
                write();
            }
        });
        m_context.run();
        return m_result;
    }

    const beast_http::response_parser<beast_http::string_body>& response() { return m_parser; }

private:
    bool failed(boost::system::error_code ec) {
        m_result = ec;
        return static_cast<bool>(ec);
    }

    void write() {
        beast_http::async_write(m_stream, m_message,
                                [this](boost::system::error_code ec, std::size_t /*size*/) {
                                    if (!failed(ec)) {
                                        read();
                                    }
                                });
    }

    void read() {
        beast_http::async_read_some(m_stream, m_buffer, m_parser,
                                    [this](boost::system::error_code ec, std::size_t /*size*/) {
                                        if (m_on_body && !m_parser.get().body().empty()) {
                                            m_on_body(m_parser.get().body());
                                        }
                                        if (!failed(ec) && !m_parser.is_done()) {
                                            read();
                                        }
                                    });
    }

    boost::asio::io_context m_context;
    boost::beast::tcp_stream m_stream{m_context};
    boost::asio::ip::tcp::endpoint m_remote;
    request_message m_message;
    std::function<void(const std::string&)> m_on_body;
    boost::beast::flat_buffer m_buffer;
    beast_http::response_parser<beast_http::string_body> m_parser;
    boost::system::error_code m_result;
};

} // namespace

http::response call(const std::string& address, const http::request& request,
                    std::chrono::seconds timeout) {
    http_exchange it{address, request, {}};
    if (const auto ec = it.run(timeout)) {
        throw std::runtime_error{request.method + " " + request.target + ": " + ec.message()};
    }
    const auto& response = it.response().get();
    http::response converted{response.result_int(), {}, response.body()};
    for (const auto& field : response) {
        converted.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return converted;
}

received_response receive(const std::string& address, const http::request& request,
                          const std::function<void(const std::string&)>& on_body,
                          std::chrono::seconds timeout) {
    http_exchange it{address, request, on_body};
    const auto ec = it.run(timeout);
    const auto& parser = it.response();
    const auto status = parser.is_header_done() ? parser.get().result_int() : 0U;
    return {status, parser.get().body(), !ec && parser.is_done()};
}

} // namespace jujubemast::tests
