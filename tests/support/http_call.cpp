#include "support/http_call.h"

#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jujubemast::tests {

namespace beast_http = boost::beast::http;

http::response call(const std::string& address, const http::request& request,
                    std::chrono::seconds timeout) {
    boost::asio::io_context context;
    boost::beast::tcp_stream stream{context};
    const auto target = http::parse_endpoint(address);
    beast_http::request<beast_http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(beast_http::field::host, address);
    message.set(beast_http::field::connection, "close");
    for (const auto& it : request.fields) {
        message.insert(it.name, it.value);
    }
    message.body() = request.body;
    message.prepare_payload();

    beast_http::response<beast_http::string_body> answer;
    boost::beast::flat_buffer buffer;
    boost::system::error_code result = boost::asio::error::would_block;
    stream.expires_after(timeout);
    stream.async_connect({boost::asio::ip::make_address(target.host), target.port},
                         [&](boost::system::error_code connected) {
                             result = connected;
                             if (connected) {
                                 return;
                             }
                             beast_http::async_write(
                                 stream, message, [&](boost::system::error_code ec, std::size_t) {
                                     result = ec;
                                     if (ec) {
                                         return;
                                     }
                                     beast_http::async_read(stream, buffer, answer,
                                                            [&](boost::system::error_code read,
                                                                std::size_t) { result = read; });
                                 });
                         });
    context.run();
    if (result) {
        throw std::runtime_error{request.method + " " + request.target + ": " + result.message()};
    }
    http::response converted{answer.result_int(), {}, std::move(answer.body())};
    for (const auto& it : answer) {
        converted.fields.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    return converted;
}

} // namespace jujubemast::tests
